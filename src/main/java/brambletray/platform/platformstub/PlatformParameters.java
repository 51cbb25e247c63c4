package brambletray.platform.platformstub;

/**
 * The platform's ways. {@code lagMs}: age of its lists; {@code listsPerS}, {@code dutiesPerS}: calls accepted a second;
 * {@code page}: hosts on a page; {@code drainMs}: from draining until the end; {@code holdMs}: until an address is
 * given again; {@code shownMs}: how long a host that crashed is still listed.
 */
public record PlatformParameters(
        int lagMs,
        double listsPerS,
        double startsAndStopsPerS,
        int page,
        int drainMs,
        int addressHoldMs,
        int crashedShownMs) {}
