package tillerlink.statements.consensus;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;
import tillerlink.cluster.Invariant;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.Stamp;
import tillerlink.messages.statements.StatementMessage.Stage;

/**
 * The durable identity of this voter towards the others: the number of its disk, the number of
 * starts from that disk, and the highest number of starts that it knows of each other voter.
 */
final class Identity {
  /** Key of the stored value; part of the stored format. */
  private static final String KEY = "identity";

  private static final int DISK = 1;
  private static final int STAGE = 2;
  private static final int BOOTS = 3;
  private static final int PLEDGE = 4;
  private static final int LIST_VALUE = 1;

  /** The stages in stored order: a stage is stored as its position, so new ones are appended. */
  private static final List<Stage> STORED_STAGES =
      List.of(Stage.FRESH, Stage.PLEDGED, Stage.FOUNDED, Stage.LOST);

  private final Voters voters;
  private final DurableState durable;
  private final List<Long> boots;
  private long disk;
  private Stage stage = Stage.FRESH;
  private List<Long> pledge = List.of();

  Identity(Voters voters, DurableState durable, RandomGenerator random)
      throws MalformedMessageException {
    this.voters = voters;
    this.durable = durable;
    boots = new ArrayList<>(Collections.nCopies(voters.count(), 0L));
    byte[] stored = durable.initialEntries().get(KEY);
    if (stored == null) {
      disk = newDisk(random);
    } else {
      read(new FieldReader(stored));
    }
    setBoots(voters.indexOf(voters.self()), boots() + 1);
  }

  /** Returns a random disk number; never 0, because 0 denotes no disk. */
  private static long newDisk(RandomGenerator random) {
    return random.nextLong() | 1;
  }

  private void read(FieldReader in) throws MalformedMessageException {
    List<Long> storedBoots = new ArrayList<>();
    List<Long> storedPledge = new ArrayList<>();
    while (in.next()) {
      switch (in.field()) {
        case DISK -> disk = in.fixed();
        case STAGE -> stage = STORED_STAGES.get((int) in.number(STORED_STAGES.size() - 1));
        case BOOTS -> storedBoots.add(listValue(in.within()));
        case PLEDGE -> storedPledge.add(listValue(in.within()));
        default -> {}
      }
    }
    if (storedBoots.size() == voters.count()) {
      Collections.copy(boots, storedBoots);
    }
    pledge = storedPledge.size() == voters.count() ? List.copyOf(storedPledge) : List.of();
  }

  private static long listValue(FieldReader in) throws MalformedMessageException {
    long value = 0;
    while (in.next()) {
      value = in.field() == LIST_VALUE ? in.fixed() : value;
    }
    return value;
  }

  /** Writes the identity to durable state. */
  void persist() {
    FieldWriter to =
        new FieldWriter().fixed(DISK, disk).number(STAGE, STORED_STAGES.indexOf(stage));
    boots.forEach(each -> to.within(BOOTS, new FieldWriter().fixed(LIST_VALUE, each)));
    pledge.forEach(each -> to.within(PLEDGE, new FieldWriter().fixed(LIST_VALUE, each)));
    durable.write(KEY, to.done());
  }

  /** Returns the random number that was assigned to this disk when it was empty; never 0. */
  long disk() {
    return disk;
  }

  /** Returns the stage that this voter has reached since its disk was empty. */
  Stage stage() {
    return stage;
  }

  /**
   * Returns the disks that this voter has pledged to found the log with, in the order of the
   * voters' names; empty if it has not pledged.
   */
  List<Long> pledge() {
    return pledge;
  }

  /**
   * Sets the stage and the pledge, and writes them to durable state. A pledge does not change
   * unless the disk was lost, so that the log is not founded twice with different disks.
   */
  void setStage(Stage next, List<Long> pledged) {
    Invariant.holds(
        pledge.isEmpty() || pledge.equals(pledged) || next == Stage.LOST,
        () -> "pledge changes from " + pledge + " to " + pledged);
    stage = next;
    pledge = List.copyOf(pledged);
    persist();
  }

  /**
   * Treats this disk as lost and assigns it a new number, because another disk has replaced it
   * among the members.
   */
  void replaceDisk(RandomGenerator random) {
    disk = newDisk(random);
    stage = Stage.LOST;
    pledge = List.of();
    persist();
  }

  /** Returns the number of starts of this voter from this disk. */
  long boots() {
    return boots(voters.indexOf(voters.self()));
  }

  /** Returns the highest known number of starts of a voter; 0 if none is known. */
  long boots(int voter) {
    return boots.get(voter);
  }

  /**
   * Sets the known number of starts of a voter and writes it to durable state.
   *
   * @param count the number of starts; at least the number known so far
   */
  void setBoots(int voter, long count) {
    Invariant.holds(
        count >= boots.get(voter),
        () -> "starts of voter " + voter + " fall from " + boots.get(voter) + " to " + count);
    boots.set(voter, count);
    persist();
  }

  /** Returns the stamp that this voter puts on its messages. */
  Stamp stamp() {
    return new Stamp(voters.hash(), disk, boots(), boots);
  }
}
