package pace

// Reason is why a share changed.
type Reason string

// The reasons.
const (
	New        Reason = "new"
	Slow       Reason = "slow"
	Failing    Reason = "failing"
	Recovering Reason = "recovering"         // its answers are usual
	NoEvidence Reason = "no answers"         // it rises with time
	Relative   Reason = "relative to others" // the share follows those of the service's other backend servers
)

// Change is a changed share and the observations that it is based on.
type Change struct {
	Level
	ID      string
	Service string
	Before  uint8
	Reason  Reason
	Verdict
}

// Verdict is what the answers of a backend server say, compared with those of the
// others of its service.
type Verdict struct {
	Outcomes  int     // requests and opening packets observed
	Failures  int     // those that failed
	Latencies int     // answers whose latency could be compared
	Ratio     float64 // mean of their latencies, each divided by the usual one and limited to maxRatio
	median    float64 // median of these ratios, unlimited
	above     int     // those with a ratio above slowRatio
	fresh     int     // failures since the last call of Tick
}
