package tillerlink.peering.channels;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.channels.Channels;
import tillerlink.channels.Terms;
import tillerlink.peering.component.ComponentContext;
import tillerlink.peering.component.ComponentFactory;
import tillerlink.peering.component.HostedComponent;

/** The logs of channels on a gateway's process. */
public final class HostedChannels implements ComponentFactory {
  /** What messages to this part bear. */
  public static final int NUMBER = 2;

  public static final String NAME = "channels";
  private static final Logger LOG = LoggerFactory.getLogger(HostedChannels.class);
  private static final long WALL_PER_MS = 10;

  private final Terms terms;

  public HostedChannels(Terms terms) {
    this.terms = terms;
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
  public HostedComponent attach(ComponentContext ground) {
    Channels channels =
        new Channels(
            terms,
            ground.roster(),
            ground.post(),
            ground.keep(),
            ground.random(),
            System.currentTimeMillis() * WALL_PER_MS,
            line -> LOG.warn("channels: {}", line));
    return new ChannelsHttpHandler(channels);
  }
}
