package distribution

import (
	"context"
	"fmt"
	"slices"

	"github.com/go-kit/log/level"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
	"peridotrail/internal/invariant"
)

// source is where the chunks of a proposed configuration are fetched.
type source struct {
	peer  host.Identity // unused if store is set
	store bool
}

func (s source) String() string {
	if s.store {
		return "store"
	}
	return string(s.peer.ID)
}

// proposal is a configuration that may be newer than the one in force.
type proposal struct {
	manifest *configuration.Manifest
	encoded  []byte
	from     source
}

// key makes a waiting proposal give way to a later one of the same source.
func (p proposal) key() string { return p.from.String() }

// held is what this host serves to its peers. It is immutable.
type held struct {
	revision configuration.Revision
	manifest []byte
	chunks   map[configuration.Digest][]byte // of this and of the previous revision
}

// propose queues a manifest if it is newer than the one in force.
func (d *Distributor) propose(ctx context.Context, encoded []byte, from source) error {
	manifest, err := configuration.DecodeManifest(encoded)
	if err != nil {
		return err
	}
	if !d.isNewer(manifest, from) {
		return nil
	}
	return d.intake.Push(ctx, proposal{manifest: manifest, encoded: encoded, from: from})
}

// isNewer reports whether the manifest is newer than the configuration in force.
// A store that is behind, because it has lost data, is logged and counted.
func (d *Distributor) isNewer(manifest *configuration.Manifest, from source) bool {
	current := d.config.InForce.Current()
	if current == nil || manifest.Revision > current.Revision {
		return true
	}
	same := manifest.Revision < current.Revision || manifest.Digest == current.Digest
	invariant.Check(same, invariant.RevisionMonotonic,
		"revision %d has digest %s in force and %s at %s", current.Revision, current.Digest, manifest.Digest, from)
	if from.store && manifest.Revision < current.Revision {
		d.counters.storeBehind.Inc(1)
		_ = level.Error(d.config.Logger).Log("msg", "the store holds a lower revision than is in force",
			"stored", manifest.Revision, "inForce", current.Revision)
	}
	return false
}

// runIntake fetches and assembles proposed configurations, one after the other.
// It owns the assembler.
func (d *Distributor) runIntake(ctx context.Context) error {
	in := &intake{Distributor: d, assembler: configuration.NewAssembler()}
	for {
		p, err := d.intake.Pop(ctx)
		if err != nil {
			return nil //nolint:nilerr // ctx has ended
		}
		if p.manifest.Revision <= d.config.InForce.Revision() {
			continue
		}
		if err := in.accept(ctx, p); err != nil && ctx.Err() == nil {
			d.counters.fetchFailures.Inc(1)
			_ = level.Warn(d.config.Logger).Log("msg", "configuration not taken in",
				"revision", p.manifest.Revision, "from", p.from, "err", err)
		}
	}
}

// intake is the state of the duty that takes configurations in.
type intake struct {
	*Distributor
	assembler *configuration.Assembler
	current   []configuration.ChunkReference
}

func (in *intake) accept(ctx context.Context, p proposal) error {
	fetched, err := in.fetch(ctx, p)
	in.counters.fetchedBytes.Inc(int64(fetched))
	if err != nil {
		return err
	}
	snapshot, err := in.assembler.Snapshot(p.manifest)
	if err != nil {
		return err
	}
	in.publish(p)
	if !in.config.InForce.Offer(snapshot) {
		return nil
	}
	in.counters.revision.Update(int64(snapshot.Revision))
	_ = level.Info(in.config.Logger).Log("msg", "configuration in force",
		"revision", snapshot.Revision, "digest", snapshot.Digest, "from", p.from, "fetchedBytes", fetched)
	return nil
}

// publish makes the chunks available to peers. Those of the previous revision
// are kept, because a peer may be fetching them.
func (in *intake) publish(p proposal) {
	named := in.assembler.Named(p.manifest)
	retained := slices.Concat(named, in.current)
	in.assembler.Retain(retained)
	in.current = named
	chunks := make(map[configuration.Digest][]byte, len(retained))
	for _, ref := range retained {
		if data := in.assembler.Data(ref.Digest); data != nil {
			chunks[ref.Digest] = data
		}
	}
	in.published.Store(&held{revision: p.manifest.Revision, manifest: p.encoded, chunks: chunks})
}

// fetch adds the chunks that the assembler lacks and returns the bytes received.
func (in *intake) fetch(ctx context.Context, p proposal) (int, error) {
	total := 0
	for {
		missing := in.assembler.Wanted(p.manifest)
		if len(missing) == 0 {
			return total, nil
		}
		data, err := in.fetchSome(ctx, p.from, missing)
		if err != nil {
			return total, err
		}
		for i, chunk := range data {
			if err := in.assembler.Add(missing[i], chunk); err != nil {
				return total, err
			}
			total += len(chunk)
		}
	}
}

// fetchSome returns the data of the leading references, at least of one.
func (in *intake) fetchSome(ctx context.Context, from source, missing []configuration.ChunkReference) ([][]byte, error) {
	if from.store {
		ctx, cancel := context.WithTimeout(ctx, in.config.StoreTimeout)
		defer cancel()
		data, err := in.repository.Chunk(ctx, missing[0])
		return [][]byte{data}, err
	}
	request := ChunksRequest{Digests: leadingDigests(missing)}
	var reply ChunksReply
	if err := in.call(ctx, from.peer.Fleet, KindChunks, request, &reply); err != nil {
		return nil, err
	}
	if len(reply.Chunks) == 0 || len(reply.Chunks) > len(request.Digests) {
		return nil, &FetchError{Peer: from.peer.ID, Wanted: len(request.Digests), Received: len(reply.Chunks)}
	}
	return reply.Chunks, nil
}

// leadingDigests names as many chunks as one reply can hold.
func leadingDigests(missing []configuration.ChunkReference) []configuration.Digest {
	var digests []configuration.Digest
	size := 0
	for _, ref := range missing {
		size += ref.Size
		if size > chunksReplyBytes && len(digests) > 0 {
			break
		}
		digests = append(digests, ref.Digest)
	}
	return digests
}

// FetchError reports a peer that does not hold the chunks it proposed.
type FetchError struct {
	Peer     host.ID
	Wanted   int
	Received int
}

// Error implements error.
func (e *FetchError) Error() string {
	return fmt.Sprintf("host %s sent %d of %d chunks", e.Peer, e.Received, e.Wanted)
}
