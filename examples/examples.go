// Package examples embeds the example settings and configurations, which the
// demo runs and operators can copy.
package examples

import "embed"

// Files holds a folder per example, with settings.jsonc and intent.jsonc.
//
//go:embed visa qasr
var Files embed.FS
