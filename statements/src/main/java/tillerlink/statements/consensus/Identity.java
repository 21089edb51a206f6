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
 * Who this voter is to the others: the number of its disk, how often it started from it, and how
 * often it knows the others to have started. All of it is durable.
 */
final class Identity {
  /** The key of the stored value; part of the stored format. */
  private static final String KEY = "identity";

  private static final int DISK = 1;
  private static final int STAGE = 2;
  private static final int BOOTS = 3;
  private static final int PLEDGE = 4;
  private static final int LIST_VALUE = 1;

  /** A stage is stored as its position here: new ones come last. */
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
    bootsAre(voters.indexOf(voters.self()), boots() + 1);
  }

  /** Never 0, which stands for no disk. */
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

  /** Writes it to durable state. */
  void persist() {
    FieldWriter to =
        new FieldWriter().fixed(DISK, disk).number(STAGE, STORED_STAGES.indexOf(stage));
    boots.forEach(each -> to.within(BOOTS, new FieldWriter().fixed(LIST_VALUE, each)));
    pledge.forEach(each -> to.within(PLEDGE, new FieldWriter().fixed(LIST_VALUE, each)));
    durable.write(KEY, to.done());
  }

  /** The number that this disk was given when it was empty. */
  long disk() {
    return disk;
  }

  /** How far this voter has come since its disk was empty. */
  Stage stage() {
    return stage;
  }

  /** The disks that it founds the log with, in the order of the voters' names; empty if none. */
  List<Long> pledge() {
    return pledge;
  }

  void stageIs(Stage next, List<Long> pledged) {
    Invariant.holds(
        pledge.isEmpty() || pledge.equals(pledged) || next == Stage.LOST,
        () -> "pledge changes from " + pledge + " to " + pledged);
    stage = next;
    pledge = List.copyOf(pledged);
    persist();
  }

  /** Another disk took this one's place: it is treated as lost, and gets a new number. */
  void startOver(RandomGenerator random) {
    disk = newDisk(random);
    stage = Stage.LOST;
    pledge = List.of();
    persist();
  }

  /** How often this voter started from this disk. */
  long boots() {
    return boots(voters.indexOf(voters.self()));
  }

  /** How often that voter is known to have started. */
  long boots(int voter) {
    return boots.get(voter);
  }

  void bootsAre(int voter, long count) {
    Invariant.holds(
        count >= boots.get(voter),
        () -> "starts of voter " + voter + " fall from " + boots.get(voter) + " to " + count);
    boots.set(voter, count);
    persist();
  }

  /** The stamp of this voter's messages. */
  Stamp stamp() {
    return new Stamp(voters.hash(), disk, boots(), boots);
  }
}
