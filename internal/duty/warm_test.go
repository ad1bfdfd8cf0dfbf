package duty

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/gaissmai/bart"
	_ "github.com/go-faster/errors"
	_ "github.com/go-kit/log"
	_ "github.com/go-kit/log/level"
	_ "github.com/quic-go/quic-go"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/stretchr/testify/require"
	_ "github.com/tailscale/hujson"
	_ "github.com/urfave/cli/v3"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
