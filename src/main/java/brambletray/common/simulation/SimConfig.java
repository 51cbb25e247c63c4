package brambletray.common.simulation;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultChannelConfig;
import java.util.Set;

/** Takes the options of sockets that mean nothing here, and keeps SO_LINGER, which does. */
final class SimConfig extends DefaultChannelConfig {
    private static final Set<ChannelOption<?>> WITHOUT_MEANING = Set.of(
            ChannelOption.TCP_NODELAY,
            ChannelOption.SO_REUSEADDR,
            ChannelOption.SO_BACKLOG,
            ChannelOption.SO_KEEPALIVE);
    private int linger = -1;

    SimConfig(Channel channel) {
        super(channel);
    }

    /** Seconds; 0 makes close a reset. */
    int linger() {
        return linger;
    }

    @Override
    public <T> boolean setOption(ChannelOption<T> option, T value) {
        if (option == ChannelOption.SO_LINGER) {
            linger = (Integer) value;
            return true;
        }
        return WITHOUT_MEANING.contains(option) || super.setOption(option, value);
    }
}
