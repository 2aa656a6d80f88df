// Package estimate learns what work needs and how it gets on with its
// neighbours, from reports that lag behind.
package estimate
