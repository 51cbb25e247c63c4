package brambletray.platform.distribution;

/**
 * The first message on a link, from the process that dialed. {@code address}: where it listens for links; {@code
 * isCoreMember}: whether it is a member of the core.
 */
public record LinkIntroduction(String name, String address, boolean isCoreMember) {}
