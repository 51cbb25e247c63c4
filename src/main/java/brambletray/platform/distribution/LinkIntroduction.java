package brambletray.platform.distribution;

/**
 * The first frame on a link: who dialled. {@code address}: where it listens for links; {@code keep}: a member of the
 * core.
 */
public record LinkIntroduction(String name, String address, boolean isCoreMember) {}
