package wrenkeel;

import java.io.IOException;

/** Entry point: {@code simhost} runs the adapter on standard input and output. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws IOException {
        System.exit(run(args));
    }

    static int run(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("simhost")) {
            return SimHost.serve(System.in, System.out, System.err);
        }
        System.err.println("usage: java -jar wrenkeel.jar simhost");
        return 2;
    }
}
