package protocol

import "testing"

func FuzzParseLoadReport(f *testing.F) {
	f.Add("TEXT queue=3, latency_ms=1.5")
	f.Add("TEXT queue=,,=")
	f.Fuzz(func(t *testing.T, text string) {
		if got := (Protocol{ReportFields: []string{"depth", "mean_ms"}}).parseLoadReport(text); got != nil && len(got) != 2 {
			t.Error(got)
		}
	})
}
