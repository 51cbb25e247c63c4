package brambletray.relay.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Addresses as text. */
public final class Addresses {
    private Addresses() {}

    /** An address in digits and a port; names are not looked up, for there is no DNS. */
    public static InetSocketAddress parse(String text) throws Wire.Malformed {
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon));
            if (host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
                return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IOException | IllegalArgumentException e) {
            // Falls through to the one message that fits every fault of an address.
        }
        throw new Wire.Malformed("not an address and port: '" + text + "'");
    }
}
