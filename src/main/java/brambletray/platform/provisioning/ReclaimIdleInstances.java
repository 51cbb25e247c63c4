package brambletray.platform.provisioning;

/**
 * No worker has room for a start for which requests wait: homes end the instances that have been idle for {@code
 * idleMs} or longer.
 */
public record ReclaimIdleInstances(int idleMs) {}
