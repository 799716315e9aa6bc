package keyspacerunner

import "context"

// quotaLeadership tells the keeper of quotas who keeps their ledger: the leader.
type quotaLeadership struct{ *Runner }

// Leads implements quotakeeper.Leadership.
func (ql quotaLeadership) Leads() (int64, bool) { return ql.leadership.Leads() }

// Leader implements quotakeeper.Leadership.
func (ql quotaLeadership) Leader() (id, address string, ok bool) {
	mb, ok := ql.registrar.Leader()
	return mb.ID, mb.PeerAddress, ok
}

// Nodes implements quotakeeper.Leadership.
func (ql quotaLeadership) Nodes() int { return ql.nodes() }

// ReturnQuotas returns what the node holds of callers' quotas to the leader. It is to
// be called after the last request.
func (rn *Runner) ReturnQuotas(ctx context.Context) { rn.quotas.Leave(ctx) }
