package tillerlink.members.antientropy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tillerlink.cluster.Invariant;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberCodec;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberMessage;

/**
 * Anti-entropy between two members: one sends a digest with a sum for each bucket of names, the
 * other sends listings of the buckets that differ, in pieces, and gets back what it lacks.
 *
 * <p>No I/O; owned by the gateway's event loop.
 */
public final class AntiEntropy {
  /** How many listings are pending at once; what is beyond is left to the next comparison. */
  public static final int MAX_PENDING_LISTINGS = 128;

  /** What the local member knows, itself included. */
  public interface Known {
    /** The names in a bucket, in ascending order. */
    Iterable<String> names(int bucket);

    /** A member as it is gossiped now; null if it is not known. */
    GossipUpdate update(String name);
  }

  /** Sends messages to an address. */
  @FunctionalInterface
  public interface Sender {
    /** Sends a message; it may be lost. */
    void send(String address, MemberMessage message);
  }

  /**
   * A listing to be sent.
   *
   * @param after the name that was sent last; empty at the start
   * @param only the names to be listed; null for the whole bucket, with the request to reply
   */
  private record Listing(String address, int bucket, String after, List<String> only) {
    boolean isWholeBucket() {
      return only == null;
    }

    Listing continuedAfter(String name) {
      return new Listing(address, bucket, name, only);
    }
  }

  /**
   * The updates that fit one message.
   *
   * @param last the last name that was looked at
   * @param complete whether nothing remains to be listed
   */
  private record Piece(List<GossipUpdate> updates, String last, boolean complete) {}

  private final Known known;
  private final Deque<Listing> pending = new ArrayDeque<>();

  /** Without any pending listing. */
  public AntiEntropy(Known known) {
    this.known = known;
  }

  /** Whether no listing is pending. */
  public boolean isIdle() {
    return pending.isEmpty();
  }

  // ---- digests ----

  /**
   * The digest of all that is known: one sum for each bucket.
   *
   * @param salt mixed into the sums, so that a collision does not repeat in the next comparison
   */
  public List<Integer> sums(long salt) {
    List<Integer> sums = new ArrayList<>(MemberCodec.BUCKETS);
    for (int bucket = 0; bucket < MemberCodec.BUCKETS; bucket++) {
      int sum = 0;
      for (String name : known.names(bucket)) {
        sum += hash(known.update(name), salt);
      }
      sums.add(sum);
    }
    return sums;
  }

  private static int hash(GossipUpdate update, long salt) {
    long mixed = salt ^ update.name().hashCode();
    mixed = mix(mixed + update.card().incarnation());
    mixed = mix(mixed ^ update.card().birth());
    return (int) (mix(mixed + update.status().number()) >>> 32);
  }

  /** The finalizer of SplitMix64. */
  private static long mix(long bits) {
    long mixed = (bits ^ (bits >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /** Handles the digest of another member: the buckets that differ will be listed to it. */
  public void onDigest(MemberMessage.Digest digest, String address) {
    List<Integer> sums = sums(digest.salt());
    for (int bucket = 0; bucket < sums.size(); bucket++) {
      if (!sums.get(bucket).equals(digest.sums().get(bucket))) {
        add(new Listing(address, bucket, "", null));
      }
    }
  }

  private void add(Listing listing) {
    if (pending.size() < MAX_PENDING_LISTINGS && !pending.contains(listing)) {
      pending.add(listing);
    }
    Invariant.holds(
        pending.size() <= MAX_PENDING_LISTINGS,
        () -> "pending listings: " + pending.size() + " exceed " + MAX_PENDING_LISTINGS);
  }

  // ---- listings ----

  /**
   * Handles the listing of another member: what it lacks will be sent to it. To be called before
   * the listed updates are merged.
   */
  public void onListing(MemberMessage.Listing listing, String address) {
    if (!listing.reply()) {
      return;
    }
    Map<String, GossipUpdate> theirs = new HashMap<>();
    listing.updates().forEach(update -> theirs.put(update.name(), update));
    List<String> lacking = new ArrayList<>();
    for (String name : known.names(listing.bucket())) {
      if (isListed(listing, name) && takesPrecedence(known.update(name), theirs.get(name))) {
        lacking.add(name);
      }
    }
    if (!lacking.isEmpty()) {
      add(new Listing(address, listing.bucket(), "", lacking));
    }
  }

  /** Whether a name is within the range that a listing covers. */
  private static boolean isListed(MemberMessage.Listing listing, String name) {
    return name.compareTo(listing.after()) > 0
        && (listing.upTo().isEmpty() || name.compareTo(listing.upTo()) <= 0);
  }

  private static boolean takesPrecedence(GossipUpdate ours, GossipUpdate theirs) {
    if (theirs == null) {
      return true;
    }
    int order = ours.card().compare(theirs.card());
    return order != 0 ? order > 0 : ours.status().compareTo(theirs.status()) > 0;
  }

  /**
   * Sends one message of the next pending listing.
   *
   * @param card the local member's card
   * @param maxBytes the room for gossip updates; a single update that is longer is sent
   *     nevertheless
   * @return false if no listing was pending
   */
  public boolean sendNext(MemberInfo card, int maxBytes, Sender sender) {
    Listing listing = pending.poll();
    if (listing == null) {
      return false;
    }
    Piece piece = nextPiece(listing, maxBytes);
    sender.send(
        listing.address,
        new MemberMessage.Listing(
            card,
            listing.bucket,
            listing.after,
            piece.complete ? "" : piece.last,
            listing.isWholeBucket(),
            piece.updates));
    if (!piece.complete) {
      pending.addFirst(listing.continuedAfter(piece.last));
    }
    return true;
  }

  private Piece nextPiece(Listing listing, int maxBytes) {
    List<GossipUpdate> updates = new ArrayList<>();
    String last = listing.after;
    int remaining = maxBytes;
    for (String name : listing.isWholeBucket() ? known.names(listing.bucket) : listing.only) {
      if (name.compareTo(listing.after) <= 0) {
        continue;
      }
      GossipUpdate update = known.update(name);
      int size = update == null ? 0 : MemberCodec.size(update);
      if (!updates.isEmpty() && (size > remaining || updates.size() >= MemberCodec.MAX_UPDATES)) {
        return new Piece(updates, last, false);
      }
      if (update != null) {
        updates.add(update);
      }
      remaining -= size;
      last = name;
    }
    return new Piece(updates, last, true);
  }
}
