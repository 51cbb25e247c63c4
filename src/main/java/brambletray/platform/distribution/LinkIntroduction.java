package brambletray.platform.distribution;

/**
 * The first message on a link, from the process that opened it.
 *
 * @param name name of that process
 * @param address address on which it accepts links
 * @param isCoreMember whether it is a core member
 */
public record LinkIntroduction(String name, String address, boolean isCoreMember) {}
