package brambletray.platform.platformstub;

import brambletray.common.runtime.Machine;
import brambletray.platform.provisioning.CallResult;
import brambletray.platform.provisioning.ListedInstance;
import brambletray.platform.provisioning.StartResponse;
import brambletray.platform.provisioning.WorkerInfo;
import com.dslplatform.json.DslJson;
import com.dslplatform.json.JsonReader;
import com.dslplatform.json.JsonWriter;
import com.dslplatform.json.NumberConverter;
import com.dslplatform.json.ObjectConverter;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The stand-in behind the platform's own interface: HTTP/1.1 and JSON, on sockets or simulated ones. */
public final class PlatformStubServer {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final byte[] NOTHING = new byte[0];

    private record Answer(int status, byte[] body) {}

    private final Machine machine;
    private final PlatformStub stub;
    private final DslJson<Object> json = new DslJson<>();
    private final JsonWriter out = json.newWriter();
    private Channel listener;

    /** Serves {@code stub} on the loop of {@code machine}. */
    public PlatformStubServer(Machine machine, PlatformStub stub) {
        this.machine = machine;
        this.stub = stub;
    }

    /** Listens there until {@link #close}; the future fails where the address can't be had. */
    public ChannelFuture open(InetSocketAddress address) {
        ChannelFuture bound = machine.listening(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new Front());
                    }
                })
                .bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Closes the listening socket and all connections. */
    public void close() {
        listener.close();
    }

    private final class Front extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Answer answer = answer(request);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(answer.status),
                    Unpooled.wrappedBuffer(answer.body));
            response.headers()
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            boolean keep = HttpUtil.isKeepAlive(request);
            context.writeAndFlush(response).addListener(keep ? done -> {} : ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private Answer answer(FullHttpRequest request) {
        QueryStringDecoder query = new QueryStringDecoder(request.uri());
        long now = TimeUnit.NANOSECONDS.toMillis(machine.clock().nanos());
        String term = request.headers().get("Brambletray-Fence-Token", "0");
        return switch (request.method().name() + ' ' + query.path()) {
            case "GET /instances" -> list(stub.list(first(query, "page-token"), now));
            case "GET /brambletray/workers" -> workers(stub.workers(now));
            case "POST /brambletray/begin" -> {
                Map<String, Object> body = body(request);
                yield body == null
                        ? new Answer(400, NOTHING)
                        : begun(stub.startInstance(
                                (String) body.get("service"),
                                (String) body.get("worker"),
                                (String) body.get("request-nonce"),
                                Long.parseLong(term),
                                now));
            }
            case "POST /brambletray/stop" -> {
                Map<String, Object> body = body(request);
                yield body == null
                        ? new Answer(400, NOTHING)
                        : new Answer(
                                status(stub.stopInstance((String) body.get("instance-id"), Long.parseLong(term), now)),
                                NOTHING);
            }
            default -> new Answer(404, NOTHING);
        };
    }

    private static String first(QueryStringDecoder query, String name) {
        List<String> values = query.parameters().get(name);
        return values == null ? null : values.get(0);
    }

    /** Null: no JSON object. */
    private Map<String, Object> body(FullHttpRequest request) {
        try {
            JsonReader<Object> reader = json.newReader(ByteBufUtil.getBytes(request.content()));
            reader.getNextToken();
            return ObjectConverter.deserializeMap(reader);
        } catch (IOException e) {
            return null;
        }
    }

    private Answer begun(StartResponse begun) {
        if (begun.result() != CallResult.OK) {
            return new Answer(status(begun.result()), NOTHING);
        }
        out.reset();
        text('{', "instance-id", begun.id());
        text(',', "address", begun.address());
        out.writeByte((byte) '}');
        return new Answer(200, out.toByteArray());
    }

    private Answer list(PlatformStub.Page page) {
        if (page.hosts() == null) {
            return new Answer(429, NOTHING);
        }
        out.reset();
        out.writeAscii("{\"instances\":[");
        char before = ' ';
        for (ListedInstance host : page.hosts()) {
            out.writeByte((byte) before);
            before = ',';
            text('{', "instance-id", host.id());
            text(',', "service", host.service());
            text(',', "address", host.address());
            text(',', "zone", host.zone());
            text(',', "worker", host.worker());
            text(',', "revision", "v1");
            text(',', "oper-state", host.draining() ? "draining" : "operational");
            out.writeByte((byte) '}');
        }
        out.writeAscii("],\"next-token\":");
        if (page.next() == null) {
            out.writeNull();
        } else {
            out.writeString(page.next());
        }
        out.writeByte((byte) '}');
        return new Answer(200, out.toByteArray());
    }

    private Answer workers(List<WorkerInfo> workers) {
        if (workers == null) {
            return new Answer(429, NOTHING);
        }
        out.reset();
        out.writeAscii("{\"workers\":[");
        char before = ' ';
        for (WorkerInfo worker : workers) {
            out.writeByte((byte) before);
            before = ',';
            text('{', "name", worker.name());
            text(',', "zone", worker.zone());
            out.writeAscii(",\"memory-mb\":");
            NumberConverter.serialize(worker.memoryMb(), out);
            out.writeAscii(",\"free-memory-mb\":");
            NumberConverter.serialize(worker.freeMb(), out);
            text(',', "oper-state", worker.draining() ? "draining" : "operational");
            out.writeByte((byte) '}');
        }
        out.writeAscii("]}");
        return new Answer(200, out.toByteArray());
    }

    private void text(char before, String name, String value) {
        out.writeByte((byte) before);
        out.writeString(name);
        out.writeByte((byte) ':');
        out.writeString(value);
    }

    private static int status(CallResult result) {
        return switch (result) {
            case OK -> 200;
            case MALFORMED -> 400;
            case FENCED -> 403;
            case NO_SUCH -> 404;
            case REJECTED -> 409;
            case BUSY -> 429;
            case UNKNOWN -> 503;
        };
    }
}
