// Package metrics holds the counters, gauges and histograms of a process. There
// are histograms for each customer and class; the number of these series is
// limited.
package metrics

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"
)

// maxSeries is the number of pairs of customer and class that get histograms of
// their own. All others share the series "other".
const maxSeries = 1000

// sampleSize is the number of values that a histogram keeps.
const sampleSize = 1028

// Registry holds the metrics of one process.
type Registry struct {
	reg    gometrics.Registry
	mu     sync.Mutex
	series map[string]struct{}
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{reg: gometrics.NewRegistry(), series: map[string]struct{}{}}
}

// Counter returns the counter called name.
func (r *Registry) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, r.reg)
}

// Gauge returns the gauge called name.
func (r *Registry) Gauge(name string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(name, r.reg)
}

// GaugeFunc registers a gauge that calls fn each time it is read.
func (r *Registry) GaugeFunc(name string, fn func() int64) {
	_ = r.reg.Register(name, gometrics.NewFunctionalGauge(fn))
}

// Histogram returns the histogram called name for a customer and class.
func (r *Registry) Histogram(name, customer, class string) gometrics.Histogram {
	return r.Timing(name + "." + r.seriesName(customer+"."+class))
}

// Timing returns the histogram called name.
func (r *Registry) Timing(name string) gometrics.Histogram {
	return r.reg.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewUniformSample(sampleSize))
	}).(gometrics.Histogram)
}

// seriesName returns the series, or "other" if it is new and there are already
// maxSeries.
func (r *Registry) seriesName(series string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.series[series]; ok {
		return series
	}
	if len(r.series) >= maxSeries {
		return "other"
	}
	r.series[series] = struct{}{}
	return series
}

// ServeHTTP writes all metrics as JSON.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.reg.GetAll())
}

// percentiles lists the percentiles that ServeText writes for each histogram.
var percentiles = []float64{0.5, 0.9, 0.99}

// ServeText writes all metrics as text. Each line has the name of a value, a
// space and the value.
func (r *Registry) ServeText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	var lines []string
	r.reg.Each(func(name string, metric any) { lines = append(lines, textOf(name, metric)...) })
	slices.Sort(lines)
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n") // fails only if the client has disconnected
}

func textOf(name string, metric any) []string {
	switch m := metric.(type) {
	case gometrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case gometrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case gometrics.Histogram:
		lines := []string{fmt.Sprintf("%s.count %d", name, m.Count())}
		for i, v := range m.Percentiles(percentiles) {
			lines = append(lines, fmt.Sprintf("%s.p%g %g", name, percentiles[i]*100, v))
		}
		return lines
	}
	return nil
}
