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
 * Anti-entropy between two members. One member sends a digest with a checksum for each bucket of
 * names. The other member replies with listings of the buckets that differ, split into several
 * messages, and receives the updates that it lacks.
 *
 * <p>This class does no I/O and is confined to the gateway's event loop.
 */
public final class AntiEntropy {
  /** Maximum number of pending listings; further listings are left to the next comparison. */
  public static final int MAX_PENDING_LISTINGS = 128;

  /** The members that the local member knows, itself included. */
  public interface KnownMembers {
    /** Returns the names in a bucket, in ascending order. */
    Iterable<String> names(int bucket);

    /** Returns the current gossip update of a member; null if the member is unknown. */
    GossipUpdate update(String name);
  }

  /** Sender of messages to an address. */
  @FunctionalInterface
  public interface Sender {
    /** Sends a message, which may be lost. */
    void send(String address, MemberMessage message);
  }

  /**
   * A listing to be sent.
   *
   * @param address the receiver's address, host:port
   * @param bucket the number of the listed bucket
   * @param after the name that was sent last; empty at the start
   * @param selectedNames the names to be listed; null for the whole bucket, which also requests a
   *     reply
   */
  private record Listing(String address, int bucket, String after, List<String> selectedNames) {
    boolean isWholeBucket() {
      return selectedNames == null;
    }

    Listing continuedAfter(String name) {
      return new Listing(address, bucket, name, selectedNames);
    }
  }

  /**
   * The part of a listing that fits one message.
   *
   * @param updates the updates in the message
   * @param last the last name that this part covers
   * @param complete whether this is the last part of the listing
   */
  private record Piece(List<GossipUpdate> updates, String last, boolean complete) {}

  private final KnownMembers knownMembers;
  private final Deque<Listing> pending = new ArrayDeque<>();

  /** Creates an instance without pending listings. */
  public AntiEntropy(KnownMembers knownMembers) {
    this.knownMembers = knownMembers;
  }

  /** Returns whether no listing is pending. */
  public boolean isIdle() {
    return pending.isEmpty();
  }

  // ---- digests ----

  /**
   * Returns the digest of all known members: one checksum for each bucket.
   *
   * @param salt mixed into the checksums, so that a collision does not recur in the next comparison
   */
  public List<Integer> sums(long salt) {
    List<Integer> sums = new ArrayList<>(MemberCodec.BUCKETS);
    for (int bucket = 0; bucket < MemberCodec.BUCKETS; bucket++) {
      int sum = 0;
      for (String name : knownMembers.names(bucket)) {
        sum += hash(knownMembers.update(name), salt);
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

  /** Applies the finalizer of SplitMix64. */
  private static long mix(long bits) {
    long mixed = (bits ^ (bits >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /**
   * Handles the digest of another member by queueing a listing of each bucket that differs.
   *
   * @param digest the received digest
   * @param address the address of its sender, host:port
   */
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
   * Handles the listing of another member by queueing the updates that it lacks. This must be
   * called before the listed updates are merged, because the merge would hide the differences.
   *
   * @param listing the received listing
   * @param address the address of its sender, host:port
   */
  public void onListing(MemberMessage.Listing listing, String address) {
    if (!listing.reply()) {
      return;
    }
    Map<String, GossipUpdate> theirs = new HashMap<>();
    listing.updates().forEach(update -> theirs.put(update.name(), update));
    List<String> lacking = new ArrayList<>();
    for (String name : knownMembers.names(listing.bucket())) {
      if (isListed(listing, name) && takesPrecedence(knownMembers.update(name), theirs.get(name))) {
        lacking.add(name);
      }
    }
    if (!lacking.isEmpty()) {
      add(new Listing(address, listing.bucket(), "", lacking));
    }
  }

  /** Returns whether a name is within the range that a listing covers. */
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
   * @param maxBytes the capacity for gossip updates, in bytes; a single longer update is sent
   *     nevertheless
   * @param sender sends the message
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
    for (String name :
        listing.isWholeBucket() ? knownMembers.names(listing.bucket) : listing.selectedNames) {
      if (name.compareTo(listing.after) <= 0) {
        continue;
      }
      GossipUpdate update = knownMembers.update(name);
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
