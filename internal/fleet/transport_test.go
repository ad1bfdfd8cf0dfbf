package fleet_test

import (
	"context"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/fleet"
	"peridotrail/internal/fleet/fleettest"
	"peridotrail/internal/fleet/keys"
	"peridotrail/internal/host"
	"peridotrail/internal/knownfailure"
)

type ping struct {
	Text string `cbor:"1,keyasint"`
}

type codedError struct{}

func (codedError) Error() string     { return "no room" }
func (codedError) FleetCode() string { return "no-room" }

type setup struct {
	id           host.ID
	domain       string
	name         keys.Name // in the certificate; if empty, the name of the identity
	maxFrameSize int
	configure    func(*fleet.Transport)
}

func start(t *testing.T, ca *keys.Authority, s setup) *fleettest.Process {
	t.Helper()
	if s.domain == "" {
		s.domain = "toronto"
	}
	if s.name == (keys.Name{}) {
		s.name = keys.Name{Host: s.id, FailureDomain: s.domain}
	}
	material, err := ca.Material(s.name)
	require.NoError(t, err)
	configured := options(s.id, s.domain)
	configured.TLS = keys.NewReplaceableSource(material)
	configured.MaxFrameSize = s.maxFrameSize
	return fleettest.Start(t, ca, configured, func(transport *fleet.Transport) {
		echo(transport)
		transport.Handle("fail", func(context.Context, host.Identity, fleet.Decoder) (any, error) { return nil, codedError{} })
		transport.Handle("panic", func(context.Context, host.Identity, fleet.Decoder) (any, error) { panic("boom") })
		if s.configure != nil {
			s.configure(transport)
		}
	})
}

func call(t *testing.T, from *fleettest.Process, to netip.AddrPort, kind fleet.Kind, request any) (ping, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var reply ping
	err := from.Call(ctx, to, kind, request, &reply)
	return reply, err
}

func TestCall(t *testing.T) {
	ca := fleettest.Authority(t)
	a := start(t, ca, setup{id: "a"})
	b := start(t, ca, setup{id: "b", domain: "detroit", maxFrameSize: 4096})
	large := ping{Text: strings.Repeat("x", 8192)}
	cases := []struct {
		name     string
		to       netip.AddrPort
		kind     fleet.Kind
		request  any
		want     string
		wantKind fleet.ErrorKind
		wantCode string
	}{
		{name: "success", to: b.Addr(), kind: "echo", request: ping{Text: "hi"}, want: "a:hi"},
		{name: "to itself", to: a.Addr(), kind: "echo", request: ping{Text: "hi"}, want: "a:hi"},
		{name: "handler error", to: b.Addr(), kind: "fail", request: ping{}, wantKind: fleet.KindHandler, wantCode: "no-room"},
		{name: "handler panic", to: b.Addr(), kind: "panic", request: ping{}, wantKind: fleet.KindHandler, wantCode: fleet.CodePanic},
		{name: "unknown kind", to: b.Addr(), kind: "none", request: ping{}, wantKind: fleet.KindRefused, wantCode: fleet.CodeUnknownKind},
		{name: "not decodable", to: b.Addr(), kind: "echo", request: "text", wantKind: fleet.KindInvalid},
		{name: "not encodable", to: b.Addr(), kind: "echo", request: func() {}, wantKind: fleet.KindInvalid},
		{name: "larger than the receiver accepts", to: b.Addr(), kind: "echo", request: large, wantKind: fleet.KindRefused},
		{name: "succeeds after failures", to: b.Addr(), kind: "echo", request: ping{Text: "hi"}, want: "a:hi"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			reply, err := call(t, a, test.to, test.kind, test.request)
			if test.wantKind == 0 {
				require.NoError(t, err)
				require.Equal(t, test.want, reply.Text)
				return
			}
			var failure *fleet.Error
			require.ErrorAs(t, err, &failure)
			require.Equal(t, test.wantKind.String(), failure.Kind.String())
			require.Equal(t, test.wantCode, failure.Code)
		})
	}
}

func TestCallDeadlineReachesHandler(t *testing.T) {
	knownfailure.SkipIfListed(t)
	ca := fleettest.Authority(t)
	ended := make(chan error, 1)
	a := start(t, ca, setup{id: "a"})
	b := start(t, ca, setup{id: "b", configure: func(transport *fleet.Transport) {
		transport.Handle("wait", func(ctx context.Context, _ host.Identity, _ fleet.Decoder) (any, error) {
			<-ctx.Done()
			ended <- ctx.Err()
			return nil, ctx.Err()
		})
	}})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	err := a.Call(ctx, b.Addr(), "wait", ping{}, nil)
	require.True(t, fleet.IsKind(err, fleet.KindTimeout), "%v", err)
	require.Error(t, <-ended)
}

func TestIdentity(t *testing.T) {
	ca, other := fleettest.Authority(t), fleettest.Authority(t)
	b := start(t, ca, setup{id: "b"})
	cases := map[string]*fleettest.Process{
		"wrong authority":      start(t, other, setup{id: "a"}),
		"other host's name":    start(t, ca, setup{id: "a", name: keys.Name{Host: "c", FailureDomain: "toronto"}}),
		"other failure domain": start(t, ca, setup{id: "a", name: keys.Name{Host: "a", FailureDomain: "detroit"}}),
		"own name":             start(t, ca, setup{id: "b"}),
	}
	for name, a := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := call(t, a, b.Addr(), "echo", ping{})
			var failure *fleet.Error
			require.ErrorAs(t, err, &failure)
			require.True(t, failure.NotHandled(), "%v", err)
			_, err = call(t, b, a.Addr(), "echo", ping{})
			require.ErrorAs(t, err, &failure)
			require.True(t, failure.NotHandled(), "%v", err)
		})
	}
}

func TestStreamEnds(t *testing.T) {
	ca := fleettest.Authority(t)
	a := start(t, ca, setup{id: "a"})
	b := start(t, ca, setup{id: "b", configure: func(transport *fleet.Transport) {
		transport.HandleStream("whole", func(_ context.Context, _ host.Identity, stream fleet.Stream) {
			_, _ = io.Copy(stream, stream)
			_ = stream.CloseWrite()
		})
		transport.HandleStream("truncated", func(_ context.Context, _ host.Identity, stream fleet.Stream) {
			_, _ = io.Copy(stream, stream)
			stream.CancelWrite(fleet.CancelFailed)
		})
		transport.HandleStream("return", func(_ context.Context, _ host.Identity, stream fleet.Stream) {
			_, _ = io.Copy(stream, stream)
		})
		transport.HandleStream("panic", func(context.Context, host.Identity, fleet.Stream) { panic("boom") })
	}})
	cases := []struct {
		kind fleet.Kind
		code fleet.CancelCode
	}{
		{kind: "whole"},
		{kind: "truncated", code: fleet.CancelFailed},
		{kind: "return", code: fleet.CancelAbandoned},
		{kind: "panic", code: fleet.CancelFailed},
		{kind: "unknown", code: fleet.CancelRefused},
	}
	for _, test := range cases {
		t.Run(string(test.kind), func(t *testing.T) {
			stream, err := a.OpenStream(t.Context(), b.Addr(), test.kind)
			require.NoError(t, err)
			defer stream.Close()
			_, _ = stream.Write([]byte("body"))
			_ = stream.CloseWrite()
			body, err := io.ReadAll(stream)
			if test.code == 0 {
				require.NoError(t, err)
				require.Equal(t, "body", string(body))
				return
			}
			var cancelled *fleet.CancelledError
			require.ErrorAs(t, err, &cancelled)
			require.Equal(t, test.code, cancelled.Code)
		})
	}
}
