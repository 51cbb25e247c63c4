package brambletray.relay.handover;

import brambletray.relay.control.Relay;
import brambletray.relay.core.CallReply;
import brambletray.relay.core.HandoverState;
import brambletray.relay.message.Body;
import brambletray.relay.message.Message;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;
import java.io.DataInput;
import java.io.DataInputStream;
import java.io.DataOutput;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Frames on the wire: a length of four bytes, a byte for the sort, the fields in the order of the record, as
 * {@link DataOutput} writes them; what may be missing has a byte ahead that says so. A frame that is too
 * long, of no known sort, or shorter or longer than its fields ends the connection.
 */
final class HandoverFrameCodec extends ByteToMessageCodec<HandoverFrame> {
    /** Of the form; two processes of another one do not understand each other. */
    static final int VERSION = 1;
    /** Bytes of a frame; of the state, and of the others. */
    static final int FRAME_MOST = 8 << 20;

    private static final int LIST_MOST = 100_000;
    private static final int HELLO = 1;
    private static final int WELCOME = 2;
    private static final int TURNED_AWAY = 3;
    private static final int SUBMIT = 4;
    private static final int ANSWERED = 5;
    private static final int WITHDRAW = 6;
    private static final int EXCLUDE = 7;
    private static final int TOLD = 8;
    private static final int DRAINED = 9;
    private static final int STATE = 10;
    private static final int OWNER = 11;
    private static final int DECLINED = 12;
    private static final int KEPT = 13;
    private static final int ENDED = 14;
    private static final int CANCEL = 15;
    private static final int TAKE_BACK = 16;

    @Override
    protected void encode(ChannelHandlerContext context, HandoverFrame frame, ByteBuf out) throws IOException {
        int start = out.writerIndex();
        out.writeInt(0);
        try (ByteBufOutputStream stream = new ByteBufOutputStream(out)) {
            write(frame, stream);
        }
        out.setInt(start, out.writerIndex() - start - Integer.BYTES);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws IOException {
        if (in.readableBytes() < Integer.BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length < 1 || length > FRAME_MOST) {
            throw new CorruptedFrameException("a frame of " + length + " bytes");
        }
        if (in.readableBytes() - Integer.BYTES < length) {
            return;
        }
        in.skipBytes(Integer.BYTES);
        ByteBuf frame = in.readSlice(length);
        try (DataInputStream stream = new DataInputStream(new ByteBufInputStream(frame))) {
            out.add(read(stream, frame));
        }
        if (frame.isReadable()) {
            throw new CorruptedFrameException("a frame with " + frame.readableBytes() + " bytes too many");
        }
    }

    private static void write(HandoverFrame frame, DataOutput out) throws IOException {
        if (frame instanceof HandoverFrame.Hello hello) {
            out.writeByte(HELLO);
            out.writeInt(hello.version());
            out.writeUTF(hello.settings());
        } else if (frame instanceof HandoverFrame.Welcome welcome) {
            out.writeByte(WELCOME);
            out.writeBoolean(welcome.drained());
            out.writeInt(welcome.avoided());
        } else if (frame instanceof HandoverFrame.TurnedAway turnedAway) {
            out.writeByte(TURNED_AWAY);
            out.writeUTF(turnedAway.why());
        } else if (frame instanceof HandoverFrame.Submit submit) {
            out.writeByte(SUBMIT);
            out.writeLong(submit.number());
            write(submit.message(), out);
        } else if (frame instanceof HandoverFrame.Answered answered) {
            out.writeByte(ANSWERED);
            out.writeLong(answered.number());
            out.writeByte(answered.met().ordinal());
            out.writeLong(answered.retryAfter());
        } else if (frame instanceof HandoverFrame.Withdraw withdraw) {
            out.writeByte(WITHDRAW);
            out.writeUTF(withdraw.id());
        } else if (frame instanceof HandoverFrame.Exclude exclude) {
            out.writeByte(EXCLUDE);
            out.writeLong(exclude.number());
            out.writeUTF(exclude.host());
            out.writeBoolean(exclude.out());
        } else if (frame instanceof HandoverFrame.Told told) {
            out.writeByte(TOLD);
            out.writeLong(told.number());
            out.writeInt(told.status());
            out.writeUTF(told.text());
        } else if (frame instanceof HandoverFrame.Drained drained) {
            out.writeByte(DRAINED);
            out.writeBoolean(drained.away());
        } else if (frame instanceof HandoverFrame.State state) {
            out.writeByte(STATE);
            write(state, out);
        } else if (frame instanceof HandoverFrame.Owner owner) {
            out.writeByte(OWNER);
            out.writeBoolean(owner.careful());
        } else if (frame instanceof HandoverFrame.Declined) {
            out.writeByte(DECLINED);
        } else if (frame instanceof HandoverFrame.Kept) {
            out.writeByte(KEPT);
        } else if (frame instanceof HandoverFrame.Ended ended) {
            out.writeByte(ENDED);
            out.writeUTF(ended.id());
            out.writeInt(ended.attempt());
            out.writeUTF(ended.host());
            write(ended.reply(), out);
        } else if (frame instanceof HandoverFrame.Cancel cancel) {
            out.writeByte(CANCEL);
            out.writeUTF(cancel.id());
            out.writeInt(cancel.attempt());
        } else if (frame instanceof HandoverFrame.TakeBack takeBack) {
            out.writeByte(TAKE_BACK);
            out.writeUTF(takeBack.host());
        }
    }

    private static HandoverFrame read(DataInput in, ByteBuf rest) throws IOException {
        int sort = in.readByte();
        return switch (sort) {
            case HELLO -> new HandoverFrame.Hello(in.readInt(), in.readUTF());
            case WELCOME -> new HandoverFrame.Welcome(in.readBoolean(), in.readInt());
            case TURNED_AWAY -> new HandoverFrame.TurnedAway(in.readUTF());
            case SUBMIT -> new HandoverFrame.Submit(in.readLong(), message(in, rest));
            case ANSWERED ->
                new HandoverFrame.Answered(in.readLong(), of(HandoverFrame.Met.values(), in), in.readLong());
            case WITHDRAW -> new HandoverFrame.Withdraw(in.readUTF());
            case EXCLUDE -> new HandoverFrame.Exclude(in.readLong(), in.readUTF(), in.readBoolean());
            case TOLD -> new HandoverFrame.Told(in.readLong(), in.readInt(), in.readUTF());
            case DRAINED -> new HandoverFrame.Drained(in.readBoolean());
            case STATE -> state(in, rest);
            case OWNER -> new HandoverFrame.Owner(in.readBoolean());
            case DECLINED -> new HandoverFrame.Declined();
            case KEPT -> new HandoverFrame.Kept();
            case ENDED -> new HandoverFrame.Ended(in.readUTF(), in.readInt(), in.readUTF(), reply(in));
            case CANCEL -> new HandoverFrame.Cancel(in.readUTF(), in.readInt());
            case TAKE_BACK -> new HandoverFrame.TakeBack(in.readUTF());
            default -> throw new CorruptedFrameException("a frame of the unknown sort " + sort);
        };
    }

    private static <T> T of(T[] values, DataInput in) throws IOException {
        int ordinal = in.readByte();
        if (ordinal < 0 || ordinal >= values.length) {
            throw new CorruptedFrameException("a value of the unknown number " + ordinal);
        }
        return values[ordinal];
    }

    private static void write(Message message, DataOutput out) throws IOException {
        out.writeUTF(message.id());
        out.writeUTF(message.messageClass());
        out.writeInt(message.tenant());
        optional(out, message.routeKey());
        optional(out, message.idempotencyKey());
        out.writeLong(message.destination());
        out.writeLong(message.deadline());
        bytes(out, message.body().bytes());
    }

    private static Message message(DataInput in, ByteBuf rest) throws IOException {
        return new Message(
                in.readUTF(),
                in.readUTF(),
                in.readInt(),
                optional(in),
                optional(in),
                in.readLong(),
                in.readLong(),
                Body.of(bytes(in, rest)));
    }

    private static void optional(DataOutput out, String text) throws IOException {
        out.writeBoolean(text != null);
        if (text != null) {
            out.writeUTF(text);
        }
    }

    private static String optional(DataInput in) throws IOException {
        return in.readBoolean() ? in.readUTF() : null;
    }

    private static void bytes(DataOutput out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static byte[] bytes(DataInput in, ByteBuf rest) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > rest.readableBytes()) {
            throw new CorruptedFrameException("a field of " + length + " bytes");
        }
        byte[] bytes = new byte[length];
        in.readFully(bytes);
        return bytes;
    }

    private static void write(HandoverFrame.State state, DataOutput out) throws IOException {
        out.writeLong(state.time());
        out.writeLong(state.unix());
        out.writeInt(state.numbers().size());
        for (Map.Entry<String, Long> e : state.numbers().entrySet()) {
            out.writeUTF(e.getKey());
            out.writeLong(e.getValue());
        }
        out.writeInt(state.outs().size());
        for (HandoverState.CallInFlight callInFlight : state.outs()) {
            out.writeUTF(callInFlight.id());
            out.writeInt(callInFlight.attempt());
            out.writeUTF(callInFlight.host());
            out.writeBoolean(callInFlight.isCompleted());
        }
        bytes(out, state.memory());
    }

    private static HandoverFrame.State state(DataInput in, ByteBuf rest) throws IOException {
        long time = in.readLong();
        long unix = in.readLong();
        Map<String, Long> numbers = new HashMap<>();
        for (int left = count(in); left > 0; left--) {
            numbers.put(in.readUTF(), in.readLong());
        }
        List<HandoverState.CallInFlight> outs = new ArrayList<>();
        for (int left = count(in); left > 0; left--) {
            outs.add(new HandoverState.CallInFlight(in.readUTF(), in.readInt(), in.readUTF(), in.readBoolean()));
        }
        return new HandoverFrame.State(time, unix, numbers, outs, bytes(in, rest));
    }

    private static int count(DataInput in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > LIST_MOST) {
            throw new CorruptedFrameException("a list of " + count);
        }
        return count;
    }

    private static void write(CallReply callReply, DataOutput out) throws IOException {
        out.writeByte(callReply.outcome().ordinal());
        out.writeBoolean(callReply.isFinal());
        out.writeLong(callReply.retryAfter());
        out.writeLong(callReply.latency());
        out.writeDouble(callReply.remaining());
        out.writeDouble(callReply.limit());
        out.writeBoolean(callReply.reused());
    }

    private static CallReply reply(DataInput in) throws IOException {
        return new CallReply(
                of(Relay.Outcome.values(), in),
                in.readBoolean(),
                in.readLong(),
                in.readLong(),
                in.readDouble(),
                in.readDouble(),
                in.readBoolean());
    }
}
