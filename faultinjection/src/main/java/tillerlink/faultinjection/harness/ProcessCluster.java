package tillerlink.faultinjection.harness;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import tillerlink.fakes.EngineCommandParser.Command;
import tillerlink.faultinjection.client.HttpEndpointClient;
import tillerlink.faultinjection.engine.FakeEngine;
import tillerlink.faultinjection.engine.FakeNameService;
import tillerlink.faultinjection.fabric.Door;
import tillerlink.faultinjection.fabric.Fabric;
import tillerlink.faultinjection.fabric.Fault;
import tillerlink.faultinjection.process.GatewayProcess;
import tillerlink.faultinjection.process.Plan;
import tillerlink.faultinjection.process.Ports;

/**
 * A fleet of gateways n0, n1, ... as processes, engines e1, e2, ... behind them, and the fabric
 * between all.
 */
public final class ProcessCluster implements Closeable {
  private static final long READY_MS = 60_000;
  private static final long PAUSE_MS = 20;
  private static final long PATIENCE_MS = 5_000;
  private static final int VOTERS_MOST = 5;

  /**
   * @param gateways how many processes
   * @param sites how many sites they stand at, in turn
   * @param engines how many engines each reaches
   * @param workMs how long an engine works at each statement
   * @param shared which parts are on
   */
  public record Shape(int gateways, int sites, int engines, long workMs, Plan.Shared shared) {}

  public final Fabric fabric;
  private final List<FakeEngine> engines = new ArrayList<>();
  private final List<FakeNameService> names = new ArrayList<>();
  private final Map<String, List<Door>> engineDoors = new TreeMap<>();
  private final Map<String, Door> clientDoors = new TreeMap<>();
  private final Map<String, GatewayProcess> gateways = new LinkedHashMap<>();

  /**
   * @param ran told the engine and each request that it runs
   */
  public ProcessCluster(
      Path folder, long seed, Shape shape, String classPath, BiConsumer<String, Command> ran)
      throws IOException {
    fabric = new Fabric(seed);
    for (int i = 1; i <= shape.engines(); i++) {
      engines.add(new FakeEngine("e" + i, shape.workMs(), ran));
    }
    List<String> all = new ArrayList<>();
    for (int i = 0; i < shape.gateways(); i++) {
      all.add("n" + i);
    }
    // Each site bears the name of its first gateway, which speaks for it where sites agree.
    List<String> sites = all.subList(0, shape.sites());
    // An odd number, so that one more than half is the fewest.
    int voters = Math.min(VOTERS_MOST, shape.gateways() - 1 + shape.gateways() % 2);
    for (String name : all) {
      Map<String, Integer> reach = new TreeMap<>();
      all.stream()
          .filter(other -> !other.equals(name))
          .forEach(o -> reach.put(o, fabric.port(name, o)));
      int members = Ports.free();
      fabric.place(name, members);
      int service = namesFor(name);
      List<Integer> ports = engineDoors.get(name).stream().map(Door::port).toList();
      Plan plan =
          new Plan(
              Files.createDirectories(folder.resolve(name)),
              name,
              sites.get(all.indexOf(name) % sites.size()),
              Ports.free(),
              members,
              reach,
              sites,
              all.subList(0, voters),
              service,
              ports,
              shape.shared());
      gateways.put(name, new GatewayProcess(plan, classPath));
      clientDoors.put(name, new Door(plan.http(), fabric.tally()));
    }
  }

  private int namesFor(String gateway) throws IOException {
    List<Door> doors = new ArrayList<>();
    for (FakeEngine engine : engines) {
      doors.add(new Door(engine.port(), fabric.tally()));
    }
    engineDoors.put(gateway, doors);
    FakeNameService service = new FakeNameService(doors.stream().map(Door::port).toList());
    names.add(service);
    return service.port();
  }

  /** Starts all and waits until they say that they are well. */
  public void start() throws IOException {
    for (GatewayProcess gateway : gateways.values()) {
      gateway.start();
    }
    for (String name : gateways.keySet()) {
      awaitHealthy(name);
    }
  }

  /** Waits until a gateway says that it is well; a machine that is busy only makes this longer. */
  public void awaitHealthy(String name) throws IOException {
    long until = System.nanoTime() + READY_MS * 1_000_000;
    HttpEndpointClient client = client(name);
    while (!client.healthy()) {
      if (System.nanoTime() > until || !gateways.get(name).isAlive()) {
        throw new IOException(
            name + " did not come up; its log: " + Files.readString(gateways.get(name).log()));
      }
      pause(PAUSE_MS);
    }
  }

  public List<String> names() {
    return List.copyOf(gateways.keySet());
  }

  public GatewayProcess gateway(String name) {
    return gateways.get(name);
  }

  /** A client that comes through the fabric's door to that gateway. */
  public HttpEndpointClient client(String name) {
    return new HttpEndpointClient(clientDoors.get(name).port(), PATIENCE_MS);
  }

  public HttpEndpointClient client(String name, long patienceMs) {
    return new HttpEndpointClient(clientDoors.get(name).port(), patienceMs);
  }

  public Door clientDoor(String name) {
    return clientDoors.get(name);
  }

  /** The doors through which a gateway reaches the engines. */
  public List<Door> engineDoors(String name) {
    return engineDoors.get(name);
  }

  /** Nothing gets from any of these to any of those, nor back. */
  public void part(List<String> these, List<String> those) {
    for (String a : these) {
      for (String b : those) {
        fabric.set(a, b, Fault.CUT);
        fabric.set(b, a, Fault.CUT);
      }
    }
  }

  /** Every way and door is as it should be. */
  public void heal() {
    fabric.heal();
    clientDoors.values().forEach(door -> door.set(Fault.NONE));
    engineDoors.values().forEach(doors -> doors.forEach(door -> door.set(Fault.NONE)));
  }

  /** What went wrong inside the processes. */
  public List<String> violations() throws IOException {
    List<String> all = new ArrayList<>();
    for (GatewayProcess gateway : gateways.values()) {
      all.addAll(gateway.violations());
    }
    return all;
  }

  static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    gateways.values().forEach(GatewayProcess::kill);
    fabric.close();
    for (Door door : clientDoors.values()) {
      door.close();
    }
    for (List<Door> doors : engineDoors.values()) {
      for (Door door : doors) {
        door.close();
      }
    }
    names.forEach(FakeNameService::close);
    for (FakeEngine engine : engines) {
      engine.close();
    }
  }
}
