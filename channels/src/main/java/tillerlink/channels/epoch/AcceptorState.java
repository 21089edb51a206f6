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
 * What a gateway has promised and accepted on the agreed line. All of it is kept before it is said.
 * A promise given never falls: not by a restart, and, as {@link RejoinCheck} ask the others first,
 * not by a lost disk or an old copy of it.
 */
public final class AcceptorState {
  private Ballot promised = Ballot.NONE;
  private Ballot acceptedIn = Ballot.NONE;
  private Cut accepted;
  private boolean knows;
  private final TreeMap<String, Long> lives = new TreeMap<>();

  /**
   * @param kept what was kept, null if nothing
   */
  public AcceptorState(byte[] kept) throws MalformedMessageException {
    if (kept != null) {
      knows = true;
      read(new FieldReader(kept));
    }
  }

  public Ballot promised() {
    return promised;
  }

  public Ballot acceptedIn() {
    return acceptedIn;
  }

  public Cut accepted() {
    return accepted;
  }

  /** False after a start with nothing kept, until the others have told. */
  public boolean knows() {
    return knows;
  }

  public void knowsNow() {
    knows = true;
  }

  /** The newest incarnations known of the others that vote. */
  public Map<String, Long> lives() {
    return lives;
  }

  /**
   * A process of a gateway started; promises of its earlier ones are not counted with what is
   * promised from now on.
   */
  public void started(String gateway, long incarnation) {
    lives.merge(gateway, incarnation, Math::max);
  }

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
   * @return false if another ballot was promised
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

  /** What others know of what this gateway may have agreed to and forgotten. */
  public void recall(Ballot theirs, Ballot in, Cut cut) {
    if (theirs.compareTo(promised) > 0) {
      raise(theirs);
    }
    if (cut != null
        && (accepted == null
            || cut.slot() > accepted.slot()
            || cut.slot() == accepted.slot() && in.compareTo(acceptedIn) > 0)) {
      acceptedIn = in;
      accepted = cut;
    }
  }

  public byte[] bytes() {
    FieldWriter out =
        new FieldWriter()
            .number(1, promised.round())
            .text(2, promised.proposer())
            .number(3, acceptedIn.round())
            .text(4, acceptedIn.proposer());
    if (accepted != null) {
      out.within(5, EntryCodec.cut(accepted));
    }
    lives.forEach(
        (gateway, incarnation) ->
            out.within(6, new FieldWriter().text(1, gateway).fixed(2, incarnation)));
    return out.number(7, 1).done();
  }

  private void read(FieldReader in) throws MalformedMessageException {
    long[] rounds = new long[2];
    String[] by = {"", ""};
    while (in.next()) {
      switch (in.field()) {
        case 1 -> rounds[0] = in.number();
        case 2 -> by[0] = in.text(255);
        case 3 -> rounds[1] = in.number();
        case 4 -> by[1] = in.text(255);
        case 5 -> accepted = EntryCodec.cut(in.within());
        case 6 -> life(in.within());
        default -> {}
      }
    }
    promised = new Ballot(rounds[0], by[0]);
    acceptedIn = new Ballot(rounds[1], by[1]);
  }

  private void life(FieldReader in) throws MalformedMessageException {
    String gateway = "";
    long incarnation = 0;
    while (in.next()) {
      switch (in.field()) {
        case 1 -> gateway = in.text(255);
        case 2 -> incarnation = in.fixed();
        default -> {}
      }
    }
    started(gateway, incarnation);
  }
}
