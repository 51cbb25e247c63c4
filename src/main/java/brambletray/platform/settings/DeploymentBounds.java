package brambletray.platform.settings;

/**
 * The bounds that the deployment states, {@code bounds.*} in the settings; names end in their unit: S seconds, Ms
 * milliseconds, none a count or a share.
 *
 * @param seedLagS how far lists of seeds lag behind
 * @param reuseHoldS for how long the address of a stopped host is not reused
 * @param contactMs for how long a process must have been undisturbed to count as in contact
 * @param ackMs within which an operator's call, or a leaving host, is answered
 * @param syncS for how long a machine counts as lost after its return
 * @param drainMs for how long a leaving host serves on
 * @param graceS from SIGTERM to SIGKILL
 * @param lossSlackMs what may be lost around a machine loss
 * @param configApplyMs within which a configuration is active everywhere
 * @param revertSlackMs within which a process may still show an older version
 * @param stretchMaxMs the longest fault that widens a bound
 * @param retryBudgetRatio attempts beyond the first, as a share of requests
 * @param retryWindowS the window in which they are counted
 * @param retryBudgetSlack what is free in each window
 * @param recoveryS within which service is restored after a fault
 * @param keyWindowS for how long, from its first attempt, an operation runs at most once
 * @param quotaWindowS the window in which the requests of a tenant are counted
 * @param quotaOverage what a tenant may exceed its limit by in such a window, as a share of the limit
 * @param quotaSlack what it may exceed the limit by besides
 * @param limitShedSlack rejections that are free at a limit
 */
public record DeploymentBounds(
        double seedLagS,
        double reuseHoldS,
        int contactMs,
        int ackMs,
        double syncS,
        int drainMs,
        double graceS,
        int lossSlackMs,
        int configApplyMs,
        int revertSlackMs,
        int stretchMaxMs,
        double retryBudgetRatio,
        double retryWindowS,
        double retryBudgetSlack,
        double recoveryS,
        double keyWindowS,
        double quotaWindowS,
        double quotaOverage,
        double quotaSlack,
        double limitShedSlack) {

    static DeploymentBounds from(SettingsFields in) {
        return new DeploymentBounds(
                in.nonNegativeDouble("bounds.seed-lag-s", 3),
                in.nonNegativeDouble("bounds.reuse-hold-s", 2),
                in.nonNegativeInt("bounds.contact-ms", 4_000),
                in.nonNegativeInt("bounds.ack-ms", 5_000),
                in.nonNegativeDouble("bounds.sync-s", 4),
                in.nonNegativeInt("bounds.drain-ms", 3_000),
                in.nonNegativeDouble("bounds.grace-s", 6),
                in.nonNegativeInt("bounds.loss-slack-ms", 200),
                in.nonNegativeInt("bounds.config-apply-ms", 3_000),
                in.nonNegativeInt("bounds.revert-slack-ms", 250),
                in.nonNegativeInt("bounds.stretch-max-ms", 12_000),
                in.nonNegativeDouble("bounds.retry-budget-ratio", 0.2),
                in.nonNegativeDouble("bounds.retry-window-s", 10),
                in.nonNegativeDouble("bounds.retry-budget-slack", 20),
                in.nonNegativeDouble("bounds.recovery-s", 12),
                in.nonNegativeDouble("bounds.key-window-s", 60),
                in.nonNegativeDouble("bounds.quota-window-s", 5),
                in.nonNegativeDouble("bounds.quota-overage", 0.1),
                in.nonNegativeDouble("bounds.quota-slack", 20),
                in.nonNegativeDouble("bounds.limit-shed-slack", 10));
    }
}
