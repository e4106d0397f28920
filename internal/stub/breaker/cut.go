package breaker

import "time"

// CutOff returns answers with the status line that break off, in each framing.
func CutOff(status string) map[string]Answer {
	h := Head{Status: status}
	return map[string]Answer{
		"within its length":    {Bytes: h.Answer("Content-Length: 20\r\n", "{}"), End: Close},
		"within a chunk":       {Bytes: h.Answer("Transfer-Encoding: chunked\r\n", "9\r\n{}"), End: Close},
		"before the last one":  {Bytes: h.Answer("Transfer-Encoding: chunked\r\n", "2\r\n{}\r\n"), End: Close},
		"reset":                {Bytes: h.Answer("", "{}"), End: Reset},
		"reset late":           {Bytes: h.Answer("", "{}"), Pause: latePause, End: Reset},
		"reset within a chunk": {Bytes: h.Answer("Transfer-Encoding: chunked\r\n", "9\r\n{}"), Pause: latePause, End: Reset},
	}
}

// latePause is a time in which a reader reads all that has been sent.
const latePause = 30 * time.Millisecond
