package distribution

import (
	"context"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// offerWaitFraction is the fraction of CallTimeout for which the receiver of an offer
// waits until the offered configuration is in force.
const offerWaitFraction = 0.75

// handleOffer applies an offer pushed by a leader. It replies when the offered
// configuration is in force, or after offerWaitFraction of CallTimeout, with the
// revision then in force.
func (d *Distributor) handleOffer(ctx context.Context, from host.Identity, decode fleet.Decoder) (any, error) {
	var offer Offer
	if err := decode(&offer); err != nil {
		return nil, err
	}
	d.recordExchange(from, time.Now(), offer.ContactAge)
	d.state.merge(offer.Documents)
	if len(offer.Manifest) > 0 {
		if err := d.installOffer(ctx, from, offer.Manifest); err != nil {
			return nil, err
		}
	}
	return OfferReply{Revision: d.config.InForce.Revision(), Versions: d.state.versions()}, nil
}

// installOffer queues the offered configuration and waits until it is in force. It
// returns nil if the wait times out.
func (d *Distributor) installOffer(ctx context.Context, from host.Identity, manifest []byte) error {
	decoded, err := configuration.DecodeManifest(manifest)
	if err != nil {
		return err
	}
	subscription := d.config.InForce.Subscribe()
	defer subscription.Close()
	if err := d.propose(ctx, manifest, source{peer: from}); err != nil {
		return err
	}
	timer := time.NewTimer(time.Duration(offerWaitFraction * float64(d.config.CallTimeout)))
	defer timer.Stop()
	for d.config.InForce.Revision() < decoded.Revision {
		select {
		case <-subscription.Changed():
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// handleSync replies with what the requesting host lacks.
func (d *Distributor) handleSync(_ context.Context, from host.Identity, decode fleet.Decoder) (any, error) {
	var request SyncRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	d.ObserveRevision(from, request.Revision)
	now := time.Now()
	if from.FailureDomain != d.config.Self.FailureDomain {
		d.contact.record(now)
	} else {
		d.peerReports.TryPush(peerReport{peer: from, revision: request.Revision, versions: request.Versions})
	}
	return d.offerFor(request.Revision, request.Versions, now), nil
}

// offerFor returns what a host that holds the given revisions lacks.
func (d *Distributor) offerFor(revision configuration.Revision, versions []Version, now time.Time) Offer {
	offer := Offer{Documents: d.state.newerThan(versions), ContactAge: d.contact.age(now)}
	if published := d.published.Load(); published != nil && published.revision > revision {
		offer.Manifest = published.manifest
	}
	return offer
}

// handleChunks serves chunks of the published configuration.
func (d *Distributor) handleChunks(_ context.Context, _ host.Identity, decode fleet.Decoder) (any, error) {
	var request ChunksRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	var reply ChunksReply
	published := d.published.Load()
	if published == nil {
		return reply, nil
	}
	size := 0
	for _, digest := range request.Digests {
		data := published.chunks[digest]
		size += len(data)
		full := size > maxChunksReplyBytes && len(reply.Chunks) > 0
		if data == nil || full {
			break
		}
		reply.Chunks = append(reply.Chunks, data)
	}
	return reply, nil
}
