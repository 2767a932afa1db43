// Package platform is the generated HTTP interface described in platform.yaml.
package platform
