package tillerlink.messages.members;

import java.util.List;

/** What members say to each other. The sender's name stands on the envelope. */
public sealed interface MemberMessage {
  /** The sender's own. */
  MemberInfo card();

  List<GossipUpdate> updates();

  /**
   * Are you there?
   *
   * @param number to be answered with; nobody can guess it
   * @param target who is asked; empty for whoever has that address
   */
  record Probe(
      MemberInfo card,
      long number,
      String target,
      SuspicionLevel suspicion,
      List<GossipUpdate> updates)
      implements MemberMessage {}

  /** I am. */
  record Ack(MemberInfo card, long number, SuspicionLevel suspicion, List<GossipUpdate> updates)
      implements MemberMessage {}

  /** Ask somebody for me. */
  record Ask(
      MemberInfo card,
      long number,
      String target,
      String address,
      SuspicionLevel suspicion,
      List<GossipUpdate> updates)
      implements MemberMessage {}

  /** It answered me, or did not; the one who asked gets its own number back. */
  record Vouch(MemberInfo card, long number, boolean reached, List<GossipUpdate> updates)
      implements MemberMessage {}

  /** News. */
  record Gossip(MemberInfo card, SuspicionLevel suspicion, List<GossipUpdate> updates)
      implements MemberMessage {}

  /**
   * All I hold, as one sum for each bucket of names.
   *
   * @param salt mixed into the sums, so that two that are the same by chance are not so the next
   *     time
   */
  record Digest(MemberInfo card, long salt, List<Integer> sums) implements MemberMessage {
    public Digest {
      sums = List.copyOf(sums);
    }

    @Override
    public List<GossipUpdate> updates() {
      return List.of();
    }
  }

  /**
   * What I hold of a bucket, of the names after one and up to another.
   *
   * @param after exclusive; empty from the first on
   * @param upTo inclusive; empty to the last
   * @param reply whether the other is asked for what it holds above that
   */
  record Listing(
      MemberInfo card,
      int bucket,
      String after,
      String upTo,
      boolean reply,
      List<GossipUpdate> updates)
      implements MemberMessage {}
}
