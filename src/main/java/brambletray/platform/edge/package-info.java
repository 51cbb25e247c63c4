/** The program on edges: it puts the planes together and decides nothing itself (docs/system.md). */
package brambletray.platform.edge;
