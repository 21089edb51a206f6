package tillerlink.channels.sync;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import tillerlink.cluster.MembershipView;
import tillerlink.cluster.MessageSender;
import tillerlink.messages.channels.ChannelsCodec;
import tillerlink.messages.channels.ChannelsMessage;

/** The transport of channel messages to other gateways; it also selects broadcast recipients. */
public final class ChannelTransport {
  /**
   * The maximum number of recipients of a broadcast message, unless more voters are reachable. In a
   * larger fleet the other gateways receive the content from these recipients.
   */
  private static final int MAX_RECIPIENTS = 12;

  private final MembershipView membership;
  private final MessageSender sender;
  private final RandomGenerator random;

  /**
   * Creates a transport.
   *
   * @param membership the gateways of the fleet
   * @param sender sends encoded messages to other gateways
   * @param random the source of random numbers that selects recipients in a large fleet
   */
  public ChannelTransport(MembershipView membership, MessageSender sender, RandomGenerator random) {
    this.membership = membership;
    this.sender = sender;
    this.random = random;
  }

  /** Sends a message to one gateway. The message may be lost. */
  public void send(String to, ChannelsMessage message) {
    sender.send(to, ChannelsCodec.bytes(message));
  }

  /**
   * Sends a message to all reachable gateways, or to a random selection of them in a large fleet.
   *
   * @param message the message
   * @param always the gateways that are always among the recipients if they are reachable
   */
  public void spread(ChannelsMessage message, List<String> always) {
    byte[] body = ChannelsCodec.bytes(message);
    for (String to : recipients(always)) {
      sender.send(to, body);
    }
  }

  /** Returns the reachable gateways, or a selection if there are too many. */
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

  /** Returns this gateway's view of the members of the fleet. */
  public MembershipView membership() {
    return membership;
  }
}
