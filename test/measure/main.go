// Command measure runs real entry hosts over loopback under an open-loop load and
// compares peridotrail with two baseline policies on one deployment and scenario.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "compare peridotrail with two baselines under load and faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "lakeshore", Usage: "lakeshore or vatulele"},
			&cli.StringFlag{Name: "scenario", Value: "steady60", Usage: "one of " + scenarioNames()},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals and service times"},
			&cli.FloatFlag{Name: "seconds", Value: 20, Usage: "duration of the load"},
			&cli.StringSliceFlag{Name: "policy", Value: allPolicies(), Usage: "policies to run"},
			&cli.StringFlag{Name: "examples", Value: "examples", Usage: "folder with the configurations of the deployments"},
			&cli.StringFlag{Name: "log", Usage: "write the logs of the hosts at this level to standard error"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.BoolFlag{Name: "accounts", Usage: "also print the outcomes by client account"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	scenario, err := findScenario(c.String("scenario"))
	if err != nil {
		return err
	}
	deployment, err := loadDeployment(c.String("examples"), c.String("deployment"))
	if err != nil {
		return err
	}
	report := Report{Deployment: deployment.name, Scenario: scenario.name, Seed: c.Uint64("seed")}
	for _, policy := range c.StringSlice("policy") {
		t := trial{
			deployment: deployment,
			scenario:   scenario,
			policy:     policy,
			seed:       report.Seed,
			length:     time.Duration(c.Float("seconds") * float64(time.Second)),
			logLevel:   c.String("log"),
		}
		result, err := t.run(ctx)
		if err != nil {
			return err
		}
		report.Results = append(report.Results, *result)
	}
	if c.Bool("json") {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	report.print(os.Stdout, c.Bool("accounts"))
	return nil
}
