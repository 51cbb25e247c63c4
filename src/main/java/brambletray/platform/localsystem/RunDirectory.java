package brambletray.platform.localsystem;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** The folder and the ports of one run of the stand-in. */
final class RunDirectory {
    private RunDirectory() {}

    /** The folder that was named, which has to be empty or new; or, for null, one of its own. */
    static Path dir(Path named) {
        try {
            if (named == null) {
                return Files.createTempDirectory("brambletray-");
            }
            Files.createDirectories(named);
            try (Stream<Path> inside = Files.list(named)) {
                if (inside.findAny().isPresent()) {
                    throw new LocalSystemException(
                            "bad-plan", "--dir " + named + ": expected a new or empty folder", null);
                }
            }
            return named;
        } catch (IOException e) {
            throw new LocalSystemException(
                    "bad-plan",
                    "--dir " + named + ": expected a folder that can be written, found "
                            + e.getClass().getSimpleName(),
                    e);
        }
    }

    /** Ports that nobody listens on at this moment, on any address. */
    static LocalSite.Ports ports() {
        List<ServerSocket> held = new ArrayList<>();
        try {
            for (int i = 0; i < 6; i++) {
                ServerSocket socket = new ServerSocket();
                held.add(socket);
                socket.bind(new InetSocketAddress(InetAddress.getByAddress(new byte[4]), 0));
            }
            int[] ports = held.stream().mapToInt(ServerSocket::getLocalPort).toArray();
            return new LocalSite.Ports(ports[0], ports[1], ports[2], ports[3], ports[4], ports[5]);
        } catch (IOException e) {
            throw new LocalSystemException("no-address", "no ports are free: " + e.getMessage(), e);
        } finally {
            for (ServerSocket socket : held) {
                try {
                    socket.close();
                } catch (IOException e) {
                    // it was only a question
                }
            }
        }
    }

    /** Removes a folder of our own; what can't be removed stays. */
    static void remove(Path dir) {
        try (Stream<Path> all = Files.walk(dir)) {
            all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            // the system's own cleaning takes it
        }
    }
}
