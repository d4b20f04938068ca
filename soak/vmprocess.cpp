#include "soak/vmprocess.h"

#include "http/client.h"

#include <boost/algorithm/string/join.hpp>

#include <csignal>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

extern char** environ;

namespace flamingousher::soak {

VmProcess::VmProcess(VmSpec spec)
    : spec_(std::move(spec))
{
    writeSettings();
}

VmProcess::~VmProcess()
{
    if (process_ == 0)
        return;
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
}

void VmProcess::writeSettings() const
{
    std::ofstream file(spec_.folder + "/" + spec_.name + ".ini");
    const auto at = [&](std::uint16_t port) { return spec_.address + ":" + std::to_string(port); };
    file << "[node]\nname = " << spec_.name << "\naddress = " << spec_.address << "\nzone = " << spec_.zone
         << "\nregion = r\nzones = a=r,b=r\nprocessor = " << spec_.processor
         << (spec_.memoryMb > 0 ? "\nmemory_mb = " + std::to_string(spec_.memoryMb) : std::string())
         << "\nshutdown_ms = 6000\n[listen]\ncallers = " << at(CallersPort) << "\nreadiness = " << at(ReadinessPort)
         << "\noperators = " << at(OperatorsPort) << "\nfanouts = " << at(FanoutsPort)
         << "\n[platform]\nkind = store\nstore = " << http::toString(spec_.store)
         << "\n[peers]\ngossip = " << at(GossipPort)
         << "\nkey = soak-fleet-datagrams\nseeds = " << boost::algorithm::join(spec_.seeds, ",")
         << "\n[retries]\nratio = 0.2\nslack = " << spec_.retrySlack << "\nwindow_ms = 10000\n";
}

void VmProcess::start()
{
    const std::string settings = spec_.folder + "/" + spec_.name + ".ini";
    const std::string log = spec_.folder + "/" + spec_.name + ".log";
    std::string daemon = spec_.daemon;
    std::string option = "--settings";
    std::string value = settings;
    char* const arguments[] = { daemon.data(), option.data(), value.data(), nullptr };
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::posix_spawn_file_actions_adddup2(&files, 1, 2);
    const int error = ::posix_spawn(&process_, daemon.c_str(), &files, nullptr, arguments, environ);
    ::posix_spawn_file_actions_destroy(&files);
    if (error != 0)
        throw std::runtime_error("cannot start " + daemon);
    ++startCount_;
}

void VmProcess::signal(int number)
{
    if (process_ != 0)
        ::kill(process_, number);
}

bool VmProcess::isRunning()
{
    if (process_ != 0 && ::waitpid(process_, &lastStatus_, WNOHANG) == process_)
        process_ = 0;
    return process_ != 0;
}

} // namespace flamingousher::soak
