// Package upstream is the generated HTTP interface described in upstream.yaml.
package upstream
