package tillerlink.peering.channels;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.channels.ChannelLogConfig;
import tillerlink.channels.Channels;
import tillerlink.peering.component.ComponentContext;
import tillerlink.peering.component.ComponentFactory;
import tillerlink.peering.component.HostedComponent;

/** Creates the component that stores the logs of channels. */
public final class HostedChannels implements ComponentFactory {
  /** The component's number in messages between gateways. */
  public static final int NUMBER = 2;

  /** The component's key prefix in the store on disk. */
  public static final String NAME = "channels";

  private static final Logger LOG = LoggerFactory.getLogger(HostedChannels.class);
  private static final long TENTHS_PER_MS = 10;

  private final ChannelLogConfig config;

  /** Creates a factory for channels with the given configuration. */
  public HostedChannels(ChannelLogConfig config) {
    this.config = config;
  }

  @Override
  public int number() {
    return NUMBER;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public HostedComponent create(ComponentContext context) {
    Channels channels =
        new Channels(
            config,
            context.membership(),
            context.sender(),
            context.store(),
            context.random(),
            System.currentTimeMillis() * TENTHS_PER_MS,
            line -> LOG.warn("channels: {}", line));
    return new ChannelsHttpHandler(channels);
  }
}
