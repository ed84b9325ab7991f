// Package hostile tests a daemon process against clients outside its limits.
package hostile
