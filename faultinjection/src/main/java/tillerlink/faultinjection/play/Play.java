package tillerlink.faultinjection.play;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tillerlink.faultinjection.audit.Audit;
import tillerlink.faultinjection.audit.Rule;
import tillerlink.faultinjection.audit.Violation;
import tillerlink.faultinjection.client.Members;
import tillerlink.faultinjection.harness.ProcessCluster;
import tillerlink.faultinjection.harness.ProcessIncarnations;
import tillerlink.faultinjection.process.Plan;

/** Plays one schedule over processes, with load, and audits it. */
public final class Play {
  private static final long TOGETHER_MS = 60_000;
  private static final long PAUSE_MS = 50;
  private static final int ENGINES = 3;

  private final Path folder;
  private final String classPath;
  private final Plan.Shared shared;

  /**
   * @param folder an empty one, for files, logs and disks of the processes
   * @param shared which parts are on
   */
  public Play(Path folder, String classPath, Plan.Shared shared) {
    this.shared = shared;
    this.folder = folder;
    this.classPath = classPath;
  }

  public Played play(Schedule schedule) throws IOException {
    Audit audit = new Audit();
    Disturbed disturbed = new Disturbed();
    ProcessCluster.Shape shape =
        new ProcessCluster.Shape(schedule.gateways(), schedule.sites(), ENGINES, 2, shared);
    try (ProcessCluster rig =
        new ProcessCluster(
            folder,
            schedule.seed(),
            shape,
            classPath,
            (engine, command) -> {
              audit.ran(engine, new String(command.statement(), StandardCharsets.UTF_8));
              StatementLoad.sent(audit, engine, command);
            })) {
      try {
        rig.start();
      } catch (IOException e) {
        audit.broken(Rule.INSIDE, e.getMessage());
        return new Played(schedule, audit.violations(), Map.of(), 0, 0, 0, audit.violationCount());
      }
      ProcessIncarnations lives = new ProcessIncarnations();
      ChannelLoad channels = new ChannelLoad(rig, audit, disturbed, lives, schedule.seed());
      List<Load> loads =
          new ArrayList<>(List.of(new RequestLoad(rig, audit, disturbed, schedule.seed())));
      if (shared.compareTo(Plan.Shared.CHANNELS) >= 0) {
        loads.add(channels);
      }
      StatementLoad statements = new StatementLoad(rig, audit, disturbed, schedule.seed());
      if (shared.compareTo(Plan.Shared.STATEMENTS) >= 0) {
        loads.add(statements);
      }
      StepExecutor doing =
          new StepExecutor(
              rig,
              disturbed,
              gateway -> {
                lives.diskLost(gateway);
                audit.diskLost(gateway);
              });
      together(rig, audit, "before the play");
      loads.forEach(Load::begin);
      try {
        doing.play(schedule);
      } catch (IOException e) {
        audit.broken(Rule.INSIDE, e.getMessage());
      }
      rig.heal();
      statements.ending();
      loads.forEach(Load::end);
      together(rig, audit, "after the play");
      if (shared.compareTo(Plan.Shared.CHANNELS) >= 0) {
        channels.settle();
      }
      if (shared.compareTo(Plan.Shared.STATEMENTS) >= 0) {
        statements.settle();
      }
      rig.violations().forEach(words -> audit.broken(Rule.INSIDE, words));
      List<Violation> violations = audit.end();
      return new Played(
          schedule,
          violations,
          doing.counts(),
          audit.requests(),
          audit.appends(),
          audit.runs(),
          audit.violationCount());
    }
  }

  /** Waits until every gateway says of every other that it reaches it. */
  private void together(ProcessCluster rig, Audit audit, String when) {
    if (shared == Plan.Shared.NOTHING) {
      return;
    }
    long until = System.nanoTime() + TOGETHER_MS * 1_000_000;
    for (String name : rig.names()) {
      String trouble = apart(rig, name);
      while (!trouble.isEmpty() && System.nanoTime() < until) {
        Load.pause(PAUSE_MS);
        trouble = apart(rig, name);
      }
      if (!trouble.isEmpty()) {
        audit.broken(Rule.NOT_TOGETHER, when + " " + name + " says: " + trouble);
      }
    }
  }

  /** What a gateway says that is not yet as it should be; empty if all is. */
  private static String apart(ProcessCluster rig, String name) {
    try {
      Map<String, String> members = Members.of(rig.client(name));
      for (String other : rig.names()) {
        if (!other.equals(name) && !"reachable".equals(members.get(other))) {
          return members.toString();
        }
      }
      return "";
    } catch (IOException e) {
      return e.getMessage();
    }
  }
}
