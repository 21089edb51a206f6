package tillerlink.channels.sync;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import tillerlink.cluster.MembershipView;
import tillerlink.cluster.MessageSender;
import tillerlink.messages.channels.ChannelsCodec;
import tillerlink.messages.channels.ChannelsMessage;

/** Sends messages to other gateways, and selects the recipients of messages for all. */
public final class ChannelTransport {
  /**
   * Recipients of a message for all, at the most. In a larger fleet the others receive the content
   * from these.
   */
  private static final int MAX_RECIPIENTS = 12;

  private final MembershipView membership;
  private final MessageSender sender;
  private final RandomGenerator random;

  /** Makes a transport; {@code random} selects the recipients in a large fleet. */
  public ChannelTransport(MembershipView membership, MessageSender sender, RandomGenerator random) {
    this.membership = membership;
    this.sender = sender;
    this.random = random;
  }

  /** Sends a message to one gateway; it may be lost. */
  public void send(String to, ChannelsMessage message) {
    sender.send(to, ChannelsCodec.bytes(message));
  }

  /**
   * Sends a message to all reachable gateways; in a large fleet to some of them.
   *
   * @param always gateways that are among the recipients in any case
   */
  public void spread(ChannelsMessage message, List<String> always) {
    byte[] body = ChannelsCodec.bytes(message);
    for (String to : recipients(always)) {
      sender.send(to, body);
    }
  }

  private List<String> recipients(List<String> always) {
    List<String> reachable = new ArrayList<>();
    for (String name : membership.names()) {
      if (membership.reachability(name).isContactable()) {
        reachable.add(name);
      }
    }
    if (reachable.size() <= MAX_RECIPIENTS) {
      return reachable;
    }
    List<String> selected = new ArrayList<>();
    for (String name : always) {
      if (reachable.remove(name)) {
        selected.add(name);
      }
    }
    while (selected.size() < MAX_RECIPIENTS && !reachable.isEmpty()) {
      selected.add(reachable.remove(random.nextInt(reachable.size())));
    }
    return selected;
  }

  /** Returns the gateways of the fleet. */
  public MembershipView membership() {
    return membership;
  }
}
