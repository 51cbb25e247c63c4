import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** HTTP/1.1 messages on plain sockets. Heads are kept as ISO-8859-1, so that each char is one byte of the wire. */
final class Http {
    private Http() {}

    /** A request or an answer as it was read. */
    static final class Message {
        String first;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];

        String header(String name) {
            for (String[] header : headers) {
                if (header[0].equalsIgnoreCase(name)) {
                    return header[1];
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String method() {
            return first.split(" ")[0];
        }

        String path() {
            return first.split(" ")[1];
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException();
            }
            if (b != '\r') {
                out.write(b);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads one message; null if the connection ends before its first byte. */
    static Message read(InputStream in, boolean withoutBody) throws IOException {
        in.mark(1);
        if (in.read() < 0) {
            return null;
        }
        in.reset();
        Message message = new Message();
        message.first = line(in);
        for (String text = line(in); !text.isEmpty(); text = line(in)) {
            int colon = text.indexOf(':');
            message.headers.add(new String[] {text.substring(0, colon), text.substring(colon + 1).strip()});
        }
        String length = message.header("Content-Length");
        if (withoutBody) {
            return message;
        } else if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) {
                throw new EOFException();
            }
        } else if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
                body.write(in.readNBytes(size));
                if (size == 0) {
                    while (!line(in).isEmpty()) {
                        continue;
                    }
                    break;
                }
                line(in);
            }
            message.body = body.toByteArray();
        }
        return message;
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[first.length + body.length];
        System.arraycopy(first, 0, all, 0, first.length);
        System.arraycopy(body, 0, all, first.length, body.length);
        out.write(all);
        out.flush();
    }

    /** One connection of a client. */
    static final class Connection implements Closeable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Connection(String address, int timeoutMs) throws IOException {
            int colon = address.lastIndexOf(':');
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    1_000);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        /** Sends a request with a length and reads its answer; null: the connection ended without one. */
        Message call(String method, String path, List<String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(method + ' ' + path + " HTTP/1.1\r\n");
            headers.forEach(header -> head.append(header).append("\r\n"));
            if (body != null) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            write(out, head.append("\r\n").toString(), body == null ? new byte[0] : body);
            Message answer = read(in, method.equals("HEAD"));
            while (answer != null && answer.status() / 100 == 1) {
                answer = read(in, method.equals("HEAD"));
            }
            return answer;
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // it is closed
            }
        }
    }

    /** A call on a connection of its own; null: no answer. */
    static Message call(
            String address, String method, String path, List<String> headers, byte[] body, int timeoutMs) {
        try (Connection connection = new Connection(address, timeoutMs)) {
            return connection.call(method, path, headers, body);
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }
}
