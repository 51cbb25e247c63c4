package brambletray.tray.yard;

/** The start that a home asked for by {@code nonce} has been made. */
public record Born(String nonce, Host host) {}
