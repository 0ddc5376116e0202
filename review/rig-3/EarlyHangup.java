import java.util.*;

/** Fault: the settings change, with SIGHUP, while processes start. */
final class EarlyHangup {
    public static void main(String[] arguments) throws Exception {
        Rig rig = new Rig(arguments[0]);
        String storeHost = rig.newHost(), engineHost = rig.newHost();
        Store store = new Store(new Address(storeHost, Rig.freePort(storeHost)));
        PlainEngine engine = new PlainEngine(rig, store, "i-booking0", "split-a", new Address(engineHost, Rig.freePort(engineHost)), 40);
        engine.register(0);
        store.put("config", "main", Site.config(3, Site.DEPOSIT + "," + Site.LOOKUP, Site.BOOKING));
        List<Rig.Machine> machines = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            String zone = Site.ZONES.get(i % 3);
            machines.add(rig.new Machine("front-" + zone + "-" + (1 + i / 3), "front", rig.newHost(), zone, store.server.address, null, null, 7380));
        }
        Map<String, Integer> ends = new TreeMap<>();
        for (int round = 1; round <= 3; round++) {
            for (Rig.Machine machine : machines) {
                if (round > 1 && machine.proc.process.isAlive()) {
                    rig.log("%s gets SIGTERM, planned", machine.name);
                    machine.proc.signal("TERM");
                    machine.proc.process.waitFor();
                }
                machine.start();
                rig.log("%s starts", machine.name);
                Rig.sleep(150);
                if (Rig.TROUBLE && machines.indexOf(machine) < 2) {
                    rig.log("its settings file changes: SIGHUP 150 ms after its start");
                    machine.proc.signal("HUP");
                }
                Rig.sleep(1500);
                if (!machine.proc.process.isAlive()) {
                    ends.merge(machine.name, 1, Integer::sum);
                    rig.log("BROKEN: %s has ended by itself, status %d", machine.name, machine.proc.process.exitValue());
                }
            }
        }
        long faulty = ends.values().stream().filter(count -> count >= 3).count();
        rig.log("machines whose process ended by itself three times: %d (two are a fault)", faulty);
        rig.finish(faulty >= 2 ? 1 : 0);
    }
}
