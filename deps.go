//go:build deps

package chestnutstep

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/cockroachdb/errors"
	_ "github.com/integrii/flaggy"
	_ "github.com/rs/zerolog"
	_ "github.com/tailscale/hujson"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "google.golang.org/grpc"
	_ "google.golang.org/protobuf/proto"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
