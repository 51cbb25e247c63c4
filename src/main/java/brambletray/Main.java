package brambletray;

import brambletray.serve.Node;
import brambletray.simhost.SimHost;
import java.io.IOException;

/** Entry point: {@code serve} runs one real relay, {@code simhost} the adapter on standard streams. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws IOException {
        System.exit(run(args));
    }

    public static int run(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("simhost")) {
            return SimHost.serve(System.in, System.out, System.err);
        }
        if (args.length == 1 && args[0].equals("serve")) {
            return Node.serve(System.getenv());
        }
        System.err.println("usage: java -jar brambletray.jar serve|simhost");
        return 2;
    }
}
