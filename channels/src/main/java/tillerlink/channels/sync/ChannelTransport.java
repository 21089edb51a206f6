package tillerlink.channels.sync;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import tillerlink.cluster.MembershipView;
import tillerlink.cluster.MessageSender;
import tillerlink.messages.channels.ChannelsCodec;
import tillerlink.messages.channels.ChannelsMessage;

/** Sends messages to other gateways, and chooses whom to send what is for all. */
public final class ChannelTransport {
  /**
   * A fleet up to this size is told of everything straight; a larger one in part, and the rest
   * hears it from those.
   */
  private static final int ALL_MOST = 12;

  private final MembershipView membership;
  private final MessageSender post;
  private final RandomGenerator random;
  private long sent;
  private long sentBytes;

  public ChannelTransport(MembershipView membership, MessageSender post, RandomGenerator random) {
    this.membership = membership;
    this.post = post;
    this.random = random;
  }

  public void send(String to, ChannelsMessage message) {
    byte[] body = ChannelsCodec.bytes(message);
    sent++;
    sentBytes += body.length;
    post.send(to, body);
  }

  /**
   * @param always those who are among them in any case
   */
  public void spread(ChannelsMessage message, List<String> always) {
    byte[] body = ChannelsCodec.bytes(message);
    for (String to : some(always)) {
      sent++;
      sentBytes += body.length;
      post.send(to, body);
    }
  }

  private List<String> some(List<String> always) {
    List<String> names = new ArrayList<>();
    for (String name : membership.names()) {
      if (membership.reachability(name).isContactable()) {
        names.add(name);
      }
    }
    if (names.size() <= ALL_MOST) {
      return names;
    }
    List<String> chosen = new ArrayList<>();
    for (String name : always) {
      if (names.remove(name)) {
        chosen.add(name);
      }
    }
    while (chosen.size() < ALL_MOST && !names.isEmpty()) {
      chosen.add(names.remove(random.nextInt(names.size())));
    }
    return chosen;
  }

  public MembershipView membership() {
    return membership;
  }

  public long sent() {
    return sent;
  }

  public long sentBytes() {
    return sentBytes;
  }
}
