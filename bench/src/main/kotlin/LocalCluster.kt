package org.almondjunction.bench

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.jsonArray
import org.almondjunction.common.AdapterId
import org.almondjunction.common.Address
import org.almondjunction.common.HostId
import org.almondjunction.common.Location
import org.almondjunction.common.ModelId
import org.almondjunction.common.RegionId
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import org.almondjunction.common.TicketNumber
import org.almondjunction.common.ZoneId
import org.almondjunction.decisions.AdapterOffer
import org.almondjunction.decisions.HostRecord
import org.almondjunction.decisions.HostStatus
import org.almondjunction.decisions.ModelOffer
import org.almondjunction.decisions.TargetKind
import org.almondjunction.decisions.TargetRecord
import org.almondjunction.decisions.Ticket
import org.almondjunction.decisions.TicketAcceptance
import org.almondjunction.standins.EngineOptions
import org.almondjunction.standins.EngineStandIn
import org.almondjunction.standins.PlainServiceStandIn
import org.almondjunction.standins.PlatformStandIn
import org.almondjunction.standins.WeightStoreStandIn
import java.net.InetSocketAddress
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.io.path.writeText

/**
 * A cluster on loopback: entry hosts and agents run as processes of their own; the platform, the engines and the plain service are
 * stand-ins in this process.
 *
 * @param engines number of engines, each with an agent
 * @param entries number of entry hosts
 * @param tokenMs time between two tokens of an engine
 * @param fencingMs fencing time of the agents
 * @param withAgents whether engines and their agents are started; without them the caller connects its own clients to the entry hosts
 * @param optimized whether the processes use all tiers of the JIT compiler, as in production
 * @param relayed whether entry hosts reach each agent through a [SilencingRelay]
 * @param drainLimitMs longest graceful stop of every process
 * @param serviceWorkMs time that a call of the plain service takes
 */
internal class LocalCluster(
    private val engines: Int = 2,
    private val entries: Int = 2,
    private val tokenMs: Long = 5,
    private val fencingMs: Long = 600_000,
    private val drainLimitMs: Long = 600_000,
    serviceWorkMs: Long = 10,
    relayed: Boolean = false,
    withAgents: Boolean = true,
    private val optimized: Boolean = false,
) : AutoCloseable {
    /** A process of the cluster, with its output appended to [log]. */
    internal class Node(
        val name: String,
        private val command: List<String>,
        private val log: Path,
    ) {
        var process: Process = launch()
            private set

        private fun launch(): Process =
            ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .apply { environment()["ALMONDJUNCTION_TOKEN"] = TOKEN }
                .start()

        fun kill() = process.destroyForcibly().waitFor()

        fun signal(signal: String) = ProcessBuilder("kill", "-$signal", process.pid().toString()).start().waitFor()

        /** Waits for the process to end and returns its exit status. Throws [IllegalStateException] after [EXIT_LIMIT_S] seconds. */
        fun awaitExit(): Int =
            if (process.waitFor(EXIT_LIMIT_S, TimeUnit.SECONDS)) process.exitValue() else error("$name did not exit in $EXIT_LIMIT_S s.")

        fun restart() {
            process = launch()
        }
    }

    private val watchdog = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
    private val directory = Files.createTempDirectory("almondjunction-test")
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val platformAddress = address()
    private val callerAddresses = List(entries) { address() }
    private val adminAddresses = List(entries) { address() }
    val internalAddresses: List<Address> = List(entries) { address() }
    private val engineAddresses = List(engines) { address() }
    private val agentAddresses = List(engines) { address() }
    private val agentAdminAddresses = List(engines) { address() }
    private val serviceAddress = address()
    private val serviceAgentAddress = address()
    val relays: List<SilencingRelay> = if (relayed) agentAddresses.map { SilencingRelay(it) } else emptyList()
    private val weights = WeightStoreStandIn(loadsPerSecond = 20.0)

    val engineStandIns = engineAddresses.map { EngineStandIn(it, EngineOptions(ENGINE_MEMORY_MB, tokenMs), weights) }
    val service = PlainServiceStandIn(serviceAddress, "bench-booking", serviceWorkMs)
    val platform = PlatformStandIn(platformAddress, hosts(leaving = emptySet()))
    val entryNodes: List<Node>
    val agentNodes: List<Node>
    val serviceAgent: Node

    init {
        platform.create().start(wait = false)
        if (withAgents) engineStandIns.forEach { it.create().start(wait = false) }
        service.create().start(wait = false)
        entryNodes = List(entries) { node("entry", "entry-$it", entrySettings(it)) }
        agentNodes =
            List(if (withAgents) engines else 0) {
                node(
                    "agent",
                    "engine-$it",
                    agentSettings("engine-$it", "engine", agentAddresses[it], engineAddresses[it], agentAdminAddresses[it]),
                )
            }
        serviceAgent = node("agent", "booking", agentSettings("booking", "plain", serviceAgentAddress, serviceAddress, address()))
        watchdog.schedule({ abortHungRun() }, RUN_LIMIT_MINUTES, TimeUnit.MINUTES)
        repeat(entries) { awaitReady(it) }
    }

    fun hosts(leaving: Set<String>): JsonArray {
        val location = Location(RegionId("dalmacija"), ZoneId("split-a"))

        fun host(record: TargetRecord) =
            HostRecord(
                HostId("host-${record.target}"),
                location,
                if (record.target.value in
                    leaving
                ) {
                    HostStatus.LEAVING
                } else {
                    HostStatus.LIVE
                },
                listOf(record),
            )
        val advertisedAddresses = if (relays.isEmpty()) agentAddresses else relays.map { it.address }
        val records =
            advertisedAddresses.mapIndexed { index, agent ->
                host(TargetRecord(TargetId("engine-$index"), ServiceId("wax-advisor"), TargetKind.ENGINE, agent, ENGINE_MEMORY_MB))
            } +
                host(TargetRecord(TargetId("booking"), ServiceId("bench-booking"), TargetKind.PLAIN, serviceAgentAddress)) +
                internalAddresses.mapIndexed { index, entry -> HostRecord(HostId("entry-$index"), location, entry = entry) }
        return Json.encodeToJsonElement(ListSerializer(HostRecord.serializer()), records).jsonArray
    }

    fun publishHosts(leaving: Set<String>) = runBlocking { platform.publishHosts(hosts(leaving)) }

    private fun entrySettings(index: Int) =
        """
        host = "entry-$index"
        region = "dalmacija"
        zone = "split-a"
        listen = "${callerAddresses[index]}"
        admin = "${adminAddresses[index]}"
        internal = "${internalAddresses[index]}"
        platform = "$platformAddress"
        drain_limit_ms = $drainLimitMs
        peers = [${internalAddresses.filterIndexed { other, _ -> other != index }.joinToString { "\"$it\"" }}]
        """.trimIndent()

    private fun agentSettings(
        target: String,
        kind: String,
        listen: Address,
        backend: Address,
        admin: Address,
    ) = """
        target = "$target"
        host = "host-$target"
        region = "dalmacija"
        zone = "split-a"
        kind = "$kind"
        listen = "$listen"
        admin = "$admin"
        backend = "$backend"
        entries = [${internalAddresses.joinToString { "\"$it\"" }}]
        memory_mb = $ENGINE_MEMORY_MB
        drain_limit_ms = $drainLimitMs
        [limits]
        fencing_ms = $fencingMs
        """.trimIndent()

    private fun node(
        module: String,
        name: String,
        settings: String,
    ): Node {
        val file = directory.resolve("$name.toml").apply { writeText(settings) }
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val options =
            listOf(
                "-Xmx64m",
                "-XX:+UseSerialGC",
                if (optimized) "-XX:+TieredCompilation" else "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
            )
        return Node(
            name,
            listOf(java) + options + listOf("org.almondjunction.$module.MainKt", "serve", "--settings", file.toString()),
            directory.resolve("$name.log"),
        )
    }

    private fun address() = FreePorts.next()

    fun isReady(entry: Int): Boolean = runCatching { get("http://${adminAddresses[entry]}/readyz").statusCode() == 200 }.getOrDefault(false)

    fun awaitReady(entry: Int) = eventually("entry host $entry is ready") { isReady(entry) }

    fun awaitAgentReady(engine: Int) =
        eventually("the agent of engine $engine is ready") {
            runCatching { get("http://${agentAdminAddresses[engine]}/readyz").statusCode() == 200 }.getOrDefault(false)
        }

    private fun get(url: String): HttpResponse<String> =
        client.send(HttpRequest.newBuilder(URI(url)).build(), HttpResponse.BodyHandlers.ofString())

    fun metrics(entry: Int): String = get("http://${adminAddresses[entry]}/metrics").body()

    /** Submits a ticket and waits until it is in force at every engine. */
    fun apply(
        number: Long,
        replicas: Int,
        version: String = "1",
        models: List<String> = listOf("wax"),
        entry: Int = 0,
    ) {
        val ticket = ticket(number, replicas, version, models)
        eventually("ticket $number is accepted") { submit(ticket, entry).statusCode() == 200 }
        eventually("ticket $number is in force") { inForce(number, entry) }
    }

    private fun ticket(
        number: Long,
        replicas: Int,
        version: String,
        models: List<String>,
    ): Ticket {
        val offers =
            models.map { model ->
                val adapters = listOf(AdapterOffer(AdapterId("$model-club"), "1", 10))
                ModelOffer(ModelId(model), ServiceId("wax-advisor"), version, memoryMb = 60, replicas = replicas, adapters = adapters)
            }
        return Ticket(TicketNumber(number), offers)
    }

    /** Submits a ticket until it is accepted, without waiting for it to be in force. */
    fun submitUntilAccepted(
        number: Long,
        replicas: Int,
        models: List<String>,
        version: String = "1",
    ) = eventually("ticket $number is accepted") { submit(ticket(number, replicas, version, models), entry = 0).statusCode() == 200 }

    private fun submit(
        ticket: Ticket,
        entry: Int,
    ): HttpResponse<String> =
        client.send(
            admin(
                "/admin/v1/tickets/${ticket.number}",
                entry,
            ).PUT(HttpRequest.BodyPublishers.ofString(TicketAcceptance.encode(ticket))).build(),
            HttpResponse.BodyHandlers.ofString(),
        )

    private fun inForce(
        number: Long,
        entry: Int,
    ): Boolean {
        val body = client.send(admin("/admin/v1/tickets/$number", entry).build(), HttpResponse.BodyHandlers.ofString()).body()
        return Regex("\"engine-\\d+\": true").findAll(body).count() == engines && "false" !in body
    }

    private fun admin(
        path: String,
        entry: Int,
    ) = HttpRequest.newBuilder(URI("http://${adminAddresses[entry]}$path")).header("Authorization", "Bearer $TOKEN")

    fun status(entry: Int = 0): String = client.send(admin("/admin/v1/status", entry).build(), HttpResponse.BodyHandlers.ofString()).body()

    /** Builds a chat request. */
    fun chat(
        entry: Int,
        tokens: Int = 20,
        model: String = "wax",
        stream: Boolean = true,
        timeoutMs: Long = 60_000,
    ): HttpRequest =
        HttpRequest
            .newBuilder(URI("http://${callerAddresses[entry]}/v1/chat/completions"))
            .header("X-Request-Timeout-Ms", timeoutMs.toString())
            .POST(HttpRequest.BodyPublishers.ofString("""{"model":"$model","stream":$stream,"max_tokens":$tokens}"""))
            .build()

    /** Builds the streaming chat request that goes to the first engine directly, bypassing entry hosts and agents. */
    fun directChat(tokens: Int): HttpRequest =
        HttpRequest
            .newBuilder(URI("http://${engineAddresses.first()}/v1/chat/completions"))
            .header("X-Model", "wax")
            .header("X-Model-Version", "1")
            .POST(HttpRequest.BodyPublishers.ofString("""{"model":"wax","stream":true,"max_tokens":$tokens}"""))
            .build()

    /** Builds a chat request with [body] and the timeout header as given, valid or not. */
    fun rawChat(
        entry: Int,
        body: String,
        timeout: String = "10000",
    ): HttpRequest =
        HttpRequest
            .newBuilder(URI("http://${callerAddresses[entry]}/v1/chat/completions"))
            .header("X-Request-Timeout-Ms", timeout)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build()

    /** Opens a connection to the callers' port of an entry host, with a small receive buffer so that few bytes arrive unread. */
    fun connect(entry: Int): Socket =
        Socket().apply {
            receiveBufferSize = RECEIVE_BUFFER_BYTES
            connect(InetSocketAddress(callerAddresses[entry].ip, callerAddresses[entry].port))
        }

    /** Writes [bytes] to the internal port of an entry host and waits until the entry host closes the connection. */
    fun writeInternal(
        entry: Int,
        bytes: ByteArray,
    ) = Socket(internalAddresses[entry].ip, internalAddresses[entry].port).use { socket ->
        socket.getOutputStream().write(bytes)
        runCatching { socket.getInputStream().readAllBytes() }
    }

    /** Overwrites the object under [key] in the platform's store; returns false if a concurrent write changed its version. */
    fun overwrite(
        key: String,
        value: String,
    ): Boolean {
        val address = "http://$platformAddress/v1/objects/$key"
        val version = get(address).headers().firstValue("ETag").orElseThrow()
        val request = HttpRequest.newBuilder(URI(address)).header("If-Match", version).PUT(HttpRequest.BodyPublishers.ofString(value))
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString()).statusCode() == HTTP_OK
    }

    /** Builds a booking request with the idempotency key [key]. */
    fun booking(
        entry: Int,
        key: String,
        body: String = """{"slot":1}""",
    ): HttpRequest =
        HttpRequest
            .newBuilder(URI("http://${callerAddresses[entry]}/services/bench-booking/slots"))
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build()

    fun send(request: HttpRequest): HttpResponse<String> = client.send(request, HttpResponse.BodyHandlers.ofString())

    fun sendAsync(request: HttpRequest) = client.sendAsync(request, HttpResponse.BodyHandlers.ofString())

    /** Sends a streaming request and returns its lines as they arrive. */
    fun lines(request: HttpRequest): Iterator<String> = client.send(request, HttpResponse.BodyHandlers.ofLines()).body().iterator()

    /** Prints the stack of every thread and kills the processes, so that a run that hangs fails and shows where it waits. */
    private fun abortHungRun() {
        System.err.println("The cluster in $directory has run for $RUN_LIMIT_MINUTES minutes and is stopped. Stacks of all threads:")
        Thread.getAllStackTraces().forEach { (thread, frames) -> System.err.println("$thread\n  ${frames.joinToString("\n  ")}") }
        (entryNodes + agentNodes + serviceAgent).forEach { it.kill() }
    }

    override fun close() {
        watchdog.shutdownNow()
        relays.forEach { it.close() }
        (entryNodes + agentNodes + serviceAgent).forEach { it.kill() }
        directory.toFile().deleteRecursively()
    }

    companion object {
        const val TOKEN = "test-token"
        const val ENGINE_MEMORY_MB = 100L
        private const val EXIT_LIMIT_S = 120L
        private const val HTTP_OK = 200
        private const val RECEIVE_BUFFER_BYTES = 16 * 1024

        /** A run takes seconds, so that this limit is not reached on a busy host either. */
        private const val RUN_LIMIT_MINUTES = 20L
        private const val EVENTUALLY_LIMIT_MS = 90_000L
        private const val EVENTUALLY_INTERVAL_MS = 50L

        /** Waits until [condition] holds. Throws [IllegalStateException] after [EVENTUALLY_LIMIT_MS], which only guards against hangs. */
        fun eventually(
            description: String,
            condition: () -> Boolean,
        ) {
            val endMs = System.currentTimeMillis() + EVENTUALLY_LIMIT_MS
            while (!condition()) {
                check(System.currentTimeMillis() < endMs) { "Condition not met within $EVENTUALLY_LIMIT_MS ms: $description" }
                Thread.sleep(EVENTUALLY_INTERVAL_MS)
            }
        }
    }
}
