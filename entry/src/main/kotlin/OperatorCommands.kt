package org.almondjunction.entry

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long
import com.github.michaelbull.result.getOrElse
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.almondjunction.common.Address
import org.almondjunction.decisions.TicketAcceptance
import org.almondjunction.decisions.TicketOutcome

/** Command that calls the operators' interface of an entry host. */
internal abstract class OperatorCommand(
    name: String,
) : CliktCommand(name) {
    private val admin by option("--admin", help = "IP number and port of an entry host's operators' interface")
        .convert { Address.parse(it) ?: fail("expected an IP number and a port, such as 127.0.0.1:9101") }
        .required()
    private val tokenFile by option(
        "--token-file",
        help = "File with the operators' token; without it the environment variable $TOKEN_VARIABLE is read",
    ).file(mustExist = true, canBeDir = false)

    /** Whether the answer is printed as JSON. */
    protected val json: Boolean by option("--json", help = "Print the answer as JSON").flag()

    protected fun send(
        method: HttpMethod,
        path: String,
        body: String = "",
    ): Pair<HttpStatusCode, String> {
        val token = tokenFile?.readText()?.trim() ?: System.getenv(TOKEN_VARIABLE).orEmpty()
        val answer = runCatching { runBlocking { call(method, path, body, token) } }
        val (status, text) = answer.getOrElse { quit(ExitCode.UNREACHABLE, "The entry host at $admin does not answer: ${it.message}") }
        if (status == HttpStatusCode.Unauthorized) quit(ExitCode.INVALID_INPUT, "The entry host refuses the token.")
        return status to text
    }

    private suspend fun call(
        method: HttpMethod,
        path: String,
        body: String,
        token: String,
    ): Pair<HttpStatusCode, String> =
        HttpClient(CIO) { install(HttpTimeout) { requestTimeoutMillis = REQUEST_TIMEOUT_MS } }.use { client ->
            val response: HttpResponse =
                client.request("http://$admin$path") {
                    this.method = method
                    bearerAuth(token)
                    if (body.isNotEmpty()) setBody(body)
                }
            response.status to response.bodyAsText()
        }

    protected fun quit(
        code: ExitCode,
        message: String,
    ): Nothing {
        echo(message, err = true)
        throw ProgramResult(code.value)
    }

    private companion object {
        const val REQUEST_TIMEOUT_MS = 60_000L
    }
}

/** `ticket apply FILE` */
internal class TicketApplyCommand : OperatorCommand("apply") {
    private val file by argument(help = "TOML file with the ticket").file(mustExist = true, canBeDir = false)

    override fun help(context: Context) =
        "Submit a ticket. Exit code 0: accepted; 1: refused; 2: faults; 3: no answer; 4: not known yet, submit again."

    override fun run() {
        val ticket =
            TicketDocument.read(file.path, file.readText()).getOrElse { faults ->
                quit(ExitCode.INVALID_INPUT, faults.joinToString("\n"))
            }
        val (_, text) = send(HttpMethod.Put, "/admin/v1/tickets/${ticket.number}", TicketAcceptance.encode(ticket))
        if (json) echo(text, trailingNewline = false)
        when (val outcome = Json.decodeFromString<TicketOutcome>(text)) {
            is TicketOutcome.Accepted -> if (!json) echo("Ticket ${ticket.number} is accepted at sequence ${outcome.sequence}.")
            is TicketOutcome.Superseded ->
                quit(
                    ExitCode.REFUSED,
                    "Ticket ${ticket.number} is refused: number ${outcome.by} is accepted already.",
                )
            TicketOutcome.NumberTaken -> quit(ExitCode.REFUSED, "Ticket ${ticket.number} is refused: another ticket has this number.")
            is TicketOutcome.Invalid -> quit(ExitCode.INVALID_INPUT, outcome.faults.joinToString("\n") { "${it.key}: ${it.message}" })
            TicketOutcome.NotKnownYet ->
                quit(
                    ExitCode.NOT_KNOWN_YET,
                    "It is not known yet whether ticket ${ticket.number} is accepted. Submit it again.",
                )
            TicketOutcome.OrderFull -> quit(ExitCode.NOT_KNOWN_YET, "Too many tickets wait for a snapshot. Submit the ticket again later.")
        }
    }
}

/** `ticket show NUMBER` */
internal class TicketShowCommand : OperatorCommand("show") {
    private val number by argument(help = "Number of the ticket").long()

    override fun help(context: Context) = "Show whether a ticket is accepted and where it is in force."

    override fun run() {
        val (status, text) = send(HttpMethod.Get, "/admin/v1/tickets/$number")
        if (status != HttpStatusCode.OK) quit(ExitCode.REFUSED, text)
        if (json) return echo(text, trailingNewline = false)
        val ticket = Json.decodeFromString<TicketStatus>(text)
        echo(ticket.detail ?: "Ticket $number: ${ticket.outcome}")
        ticket.hosts.forEach { echo("  entry host ${it.host ?: "?"} at ${it.address}: ${describe(it.inForce)}") }
        ticket.targets.forEach { (target, inForce) -> echo("  target $target: ${describe(inForce)}") }
    }

    private fun describe(inForce: Boolean?) =
        when (inForce) {
            true -> "in force"
            false -> "not in force yet"
            null -> "no answer"
        }
}

/** `status` */
internal class StatusCommand : OperatorCommand("status") {
    override fun help(context: Context) = "Show what is offered, what is loaded and which processes answer."

    override fun run() {
        val (status, text) = send(HttpMethod.Get, "/admin/v1/status")
        if (status != HttpStatusCode.OK) quit(ExitCode.REFUSED, text)
        if (json) return echo(text, trailingNewline = false)
        val cluster = Json.decodeFromString<ClusterStatus>(text)
        echo("Last ticket ${cluster.lastTicket} at sequence ${cluster.sequence}; ${cluster.models.size} models offered.")
        cluster.entries.forEach { entry ->
            val state = entry.sequence?.let { "sequence $it, ${entry.crossRegionBytes} bytes with other regions" } ?: "no answer"
            echo("  entry host ${entry.host ?: "?"} at ${entry.address}: $state")
        }
        cluster.targets.forEach { target ->
            val residents = target.residents.joinToString().ifEmpty { "nothing loaded" }
            echo("  target ${target.target}: sequence ${target.sequence}, ${target.reservedMb} of ${target.memoryMb} MB, $residents")
        }
    }
}
