package tillerlink.channels.epoch;

import java.util.Map;
import java.util.TreeMap;
import tillerlink.cluster.Invariant;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.channels.Ballot;
import tillerlink.messages.channels.Cut;
import tillerlink.messages.channels.EntryCodec;

/**
 * What a gateway's acceptor has promised and accepted. It must be persisted before a response that
 * rests on it is sent. A promise never falls: not by a restart and, as {@link RejoinCheck} asks the
 * others first, not by a lost disk or an old copy of it.
 */
public final class AcceptorState {
  private static final int PROMISED_ROUND = 1;
  private static final int PROMISED_PROPOSER = 2;
  private static final int ACCEPTED_ROUND = 3;
  private static final int ACCEPTED_PROPOSER = 4;
  private static final int ACCEPTED_CUT = 5;
  private static final int LIFE = 6;

  /** Always written, so that the stored value is never empty. */
  private static final int IS_STORED = 7;

  private static final int LIFE_GATEWAY = 1;
  private static final int LIFE_INCARNATION = 2;

  private static final int MAX_NAME_BYTES = 255;

  private Ballot promised = Ballot.NONE;
  private Ballot acceptedIn = Ballot.NONE;
  private Cut accepted;
  private boolean knows;
  private final TreeMap<String, Long> lives = new TreeMap<>();

  /**
   * Recovers the state.
   *
   * @param stored what {@link #bytes} returned, null if nothing is stored
   * @throws MalformedMessageException if it can't be read
   */
  public AcceptorState(byte[] stored) throws MalformedMessageException {
    if (stored != null) {
      knows = true;
      read(new FieldReader(stored));
    }
  }

  // ---- state ----

  /** Returns the highest ballot that it promised. */
  public Ballot promised() {
    return promised;
  }

  /** Returns the ballot in which it accepted {@link #accepted}. */
  public Ballot acceptedIn() {
    return acceptedIn;
  }

  /** Returns the last cut that it accepted, null if none. */
  public Cut accepted() {
    return accepted;
  }

  /** False after a start with nothing stored, until the others have answered. */
  public boolean knows() {
    return knows;
  }

  /** The others have answered after a start with nothing stored. */
  public void markRecovered() {
    knows = true;
  }

  /** Returns the newest incarnations that it knows of other gateways, by name; a live view. */
  public Map<String, Long> lives() {
    return lives;
  }

  // ---- changes ----

  /**
   * A process of a gateway started; promises of its earlier ones are not counted together with what
   * is promised from now on.
   */
  public void started(String gateway, long incarnation) {
    lives.merge(gateway, incarnation, Math::max);
  }

  /**
   * Promises a ballot, unless a higher one was promised.
   *
   * @return whether it is promised
   */
  public boolean promise(Ballot ballot) {
    Invariant.holds(promised.compareTo(acceptedIn) >= 0, () -> "promised less than was accepted");
    if (ballot.compareTo(promised) < 0) {
      return false;
    }
    raise(ballot);
    return true;
  }

  void raise(Ballot ballot) {
    Ballot before = promised;
    promised = ballot;
    Invariant.holds(
        promised.compareTo(before) >= 0, () -> "a promise fell from " + before + " to " + ballot);
  }

  /**
   * Accepts a cut in a ballot, unless a higher ballot was promised.
   *
   * @return whether it is accepted
   */
  public boolean accept(Ballot ballot, Cut cut) {
    if (ballot.compareTo(promised) < 0) {
      return false;
    }
    raise(ballot);
    Invariant.holds(
        !ballot.equals(acceptedIn)
            || accepted == null
            || accepted.slot() != cut.slot()
            || accepted.equals(cut),
        () -> "two values in one ballot for step " + cut.slot());
    acceptedIn = ballot;
    accepted = cut;
    return true;
  }

  /** Takes over what another gateway promised and accepted, if that is higher. */
  public void merge(Ballot otherPromised, Ballot otherAcceptedIn, Cut otherAccepted) {
    if (otherPromised.compareTo(promised) > 0) {
      raise(otherPromised);
    }
    if (otherAccepted != null && isLater(otherAccepted, otherAcceptedIn)) {
      acceptedIn = otherAcceptedIn;
      accepted = otherAccepted;
    }
  }

  private boolean isLater(Cut cut, Ballot ballot) {
    return accepted == null
        || cut.slot() > accepted.slot()
        || (cut.slot() == accepted.slot() && ballot.compareTo(acceptedIn) > 0);
  }

  // ---- as bytes ----

  /** Writes the state for storage. */
  public byte[] bytes() {
    FieldWriter out =
        new FieldWriter()
            .number(PROMISED_ROUND, promised.round())
            .text(PROMISED_PROPOSER, promised.proposer())
            .number(ACCEPTED_ROUND, acceptedIn.round())
            .text(ACCEPTED_PROPOSER, acceptedIn.proposer());
    if (accepted != null) {
      out.within(ACCEPTED_CUT, EntryCodec.cut(accepted));
    }
    lives.forEach(
        (gateway, incarnation) ->
            out.within(
                LIFE,
                new FieldWriter()
                    .text(LIFE_GATEWAY, gateway)
                    .fixed(LIFE_INCARNATION, incarnation)));
    return out.number(IS_STORED, 1).done();
  }

  private void read(FieldReader in) throws MalformedMessageException {
    long promisedRound = 0;
    String promisedProposer = "";
    long acceptedRound = 0;
    String acceptedProposer = "";
    while (in.next()) {
      switch (in.field()) {
        case PROMISED_ROUND -> promisedRound = in.number();
        case PROMISED_PROPOSER -> promisedProposer = in.text(MAX_NAME_BYTES);
        case ACCEPTED_ROUND -> acceptedRound = in.number();
        case ACCEPTED_PROPOSER -> acceptedProposer = in.text(MAX_NAME_BYTES);
        case ACCEPTED_CUT -> accepted = EntryCodec.cut(in.within());
        case LIFE -> readLife(in.within());
        default -> {}
      }
    }
    promised = new Ballot(promisedRound, promisedProposer);
    acceptedIn = new Ballot(acceptedRound, acceptedProposer);
  }

  private void readLife(FieldReader in) throws MalformedMessageException {
    String gateway = "";
    long incarnation = 0;
    while (in.next()) {
      switch (in.field()) {
        case LIFE_GATEWAY -> gateway = in.text(MAX_NAME_BYTES);
        case LIFE_INCARNATION -> incarnation = in.fixed();
        default -> {}
      }
    }
    started(gateway, incarnation);
  }
}
