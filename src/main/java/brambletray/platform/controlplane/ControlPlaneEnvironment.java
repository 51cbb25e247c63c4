package brambletray.platform.controlplane;

import brambletray.common.runtime.Machine;
import brambletray.platform.storage.DurableStore;
import java.util.Map;

/**
 * What a process of the core runs on. Real, or simulated with the same contract.
 *
 * @param stored what the disk held at the start
 * @param store writes to that disk; replies come on the machine's loop
 * @param exit ends the process; may return, and nothing of it counts from then on
 */
record ControlPlaneEnvironment(Machine machine, Map<String, byte[]> stored, DurableStore store, Runnable exit) {}
