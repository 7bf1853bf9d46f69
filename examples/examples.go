// Package examples holds working settings and configurations of both users,
// as files that an operator can copy and as the demo reads them.
package examples

import "embed"

// Files holds a folder for each user with settings.jsonc and intent.jsonc.
//
//go:embed visa qasr
var Files embed.FS
