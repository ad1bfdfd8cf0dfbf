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

// source is where the chunks of a proposed configuration are fetched from.
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
	origin   source
}

// key identifies the source in the queue: a later proposal from the same source
// replaces one that still waits.
func (p proposal) key() string { return p.origin.String() }

// publishedConfiguration is the configuration that this host serves to its peers. It
// is immutable.
type publishedConfiguration struct {
	revision configuration.Revision
	manifest []byte
	chunks   map[configuration.Digest][]byte // of this revision and the previous one
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
	return d.proposals.Push(ctx, proposal{manifest: manifest, encoded: encoded, origin: from})
}

// isNewer reports whether the manifest is newer than the configuration in force. It
// logs and counts a store with a lower revision, which has lost data.
func (d *Distributor) isNewer(manifest *configuration.Manifest, from source) bool {
	current := d.config.InForce.Current()
	if current == nil || manifest.Revision > current.Revision {
		return true
	}
	consistent := manifest.Revision < current.Revision || manifest.Digest == current.Digest
	invariant.Check(consistent, invariant.RevisionMonotone,
		"revision %d has digest %s in force and %s at %s", current.Revision, current.Digest, manifest.Digest, from)
	if from.store && manifest.Revision < current.Revision {
		d.counters.storeBehind.Inc(1)
		_ = level.Error(d.config.Logger).Log("msg", "the store holds a lower revision than is in force",
			"stored", manifest.Revision, "inForce", current.Revision)
	}
	return false
}

// runIntake fetches, assembles and installs proposed configurations one at a time
// until ctx ends. It owns the assembler.
func (d *Distributor) runIntake(ctx context.Context) error {
	in := &intake{Distributor: d, assembler: configuration.NewAssembler()}
	for {
		p, err := d.proposals.Pop(ctx)
		if err != nil {
			return nil //nolint:nilerr // ctx has ended
		}
		if p.manifest.Revision <= d.config.InForce.Revision() {
			continue
		}
		if err := in.install(ctx, p); err != nil && ctx.Err() == nil {
			d.counters.fetchFailures.Inc(1)
			_ = level.Warn(d.config.Logger).Log("msg", "failed to fetch or install a configuration",
				"revision", p.manifest.Revision, "from", p.origin, "err", err)
		}
	}
}

// intake is the state of runIntake.
type intake struct {
	*Distributor
	assembler     *configuration.Assembler
	currentChunks []configuration.ChunkReference
}

// install fetches the chunks of a proposal and puts the configuration in force.
func (in *intake) install(ctx context.Context, p proposal) error {
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
		"revision", snapshot.Revision, "digest", snapshot.Digest, "from", p.origin, "fetchedBytes", fetched)
	return nil
}

// publish makes the chunks of a proposal available to peers. Those of the previous
// revision are kept, because a peer may still be fetching them.
func (in *intake) publish(p proposal) {
	referenced := in.assembler.ReferencedChunks(p.manifest)
	retained := slices.Concat(referenced, in.currentChunks)
	in.assembler.Retain(retained)
	in.currentChunks = referenced
	chunks := make(map[configuration.Digest][]byte, len(retained))
	for _, ref := range retained {
		if data := in.assembler.Data(ref.Digest); data != nil {
			chunks[ref.Digest] = data
		}
	}
	in.published.Store(&publishedConfiguration{revision: p.manifest.Revision, manifest: p.encoded, chunks: chunks})
}

// fetch adds the chunks that the assembler lacks and returns the number of bytes
// received.
func (in *intake) fetch(ctx context.Context, p proposal) (int, error) {
	total := 0
	for {
		missing := in.assembler.MissingChunks(p.manifest)
		if len(missing) == 0 {
			return total, nil
		}
		data, err := in.fetchBatch(ctx, p.origin, missing)
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

// fetchBatch returns the data of one or more chunks from the start of missing.
func (in *intake) fetchBatch(ctx context.Context, from source, missing []configuration.ChunkReference) ([][]byte, error) {
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

// leadingDigests returns the digests of as many chunks, from the start of missing, as
// one reply can hold, and at least one.
func leadingDigests(missing []configuration.ChunkReference) []configuration.Digest {
	var digests []configuration.Digest
	size := 0
	for _, ref := range missing {
		size += ref.Size
		if size > maxChunksReplyBytes && len(digests) > 0 {
			break
		}
		digests = append(digests, ref.Digest)
	}
	return digests
}

// FetchError reports that a peer returned no chunks, or more than requested, of a
// configuration that it offered.
type FetchError struct {
	Peer     host.ID
	Wanted   int
	Received int
}

// Error implements error.
func (e *FetchError) Error() string {
	return fmt.Sprintf("host %s sent %d of %d chunks", e.Peer, e.Received, e.Wanted)
}
