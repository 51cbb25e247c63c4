/** The program on core members: it puts the planes together and decides nothing itself (docs/system.md). */
package brambletray.platform.controlplane;
