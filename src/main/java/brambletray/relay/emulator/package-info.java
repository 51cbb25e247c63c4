/** Emulated partners as pure state machines, and the ledger of the calls that took effect (docs/emulator.md). */
package brambletray.relay.emulator;
