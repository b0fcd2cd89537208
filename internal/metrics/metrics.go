// Package metrics counts what the system does. Histograms are kept for each
// customer and class; the number of names is bounded.
package metrics

import (
	"encoding/json"
	"net/http"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"
)

// maxSeries is the number of customers and classes that get a histogram of
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

// GaugeFunc registers a gauge whose value is that of fn at each reading.
func (r *Registry) GaugeFunc(name string, fn func() int64) {
	_ = r.reg.Register(name, gometrics.NewFunctionalGauge(fn))
}

// Histogram returns the histogram called name for a customer and class.
func (r *Registry) Histogram(name, customer, class string) gometrics.Histogram {
	full := name + "." + r.bounded(customer+"."+class)
	return r.reg.GetOrRegister(full, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewUniformSample(sampleSize))
	}).(gometrics.Histogram)
}

func (r *Registry) bounded(series string) string {
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
