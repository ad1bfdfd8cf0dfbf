package admission_test

import (
	"fmt"
	"peridotrail/internal/configuration"
	"testing"
	"time"
)

func TestZZ(t *testing.T) {
	account := sizes[2]
	inFleet(t, []configuration.ClientAccount{account}, func(f *testFleet) {
		g := newFigures(account)
		f.load(g, account.Rate*0.8, 20*time.Second, 1, moving)
		g.start()
		go func() {
			for k := range 6 {
				time.Sleep(400 * time.Millisecond)
				g.mu.Lock()
				fmt.Println(k, g.sent, g.admitted, g.refused, g.wrongful, g.level)
				g.mu.Unlock()
				for _, h := range f.live() {
					fmt.Println("  ", h.id.ID, h.id.FailureDomain, h.admitter.Debug(account.Name), h.leader.Lenders(account.Name, "x"))
				}
			}
		}()
		f.load(g, account.Rate*0.8, 3*time.Second, 2, moving)
	})
}
