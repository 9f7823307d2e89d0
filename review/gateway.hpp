#pragma once

// Starts the project's gateway as deploy/system.toml and deploy/gateway.settings say.

#include "http.hpp"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review
{

/// A free port of the loopback address.
inline int free_port(int type = SOCK_STREAM)
{
    int const fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &name.sin_addr);
    socklen_t size = sizeof name;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0)
        std::exit(2);
    getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
    ::close(fd);
    return ntohs(name.sin_port);
}

/// The fields of the platform's settings file that the template of the deploy file uses, with the
/// bounds of the first sheet in SYSTEM.md.
inline std::map<std::string, std::string> small_deployment()
{
    return {{"ip", "127.0.0.1"},
            {"bootstrap", "true"},
            {"limits.linkMbps", "1000.0"},
            {"bounds.graceS", "8"},
            {"bounds.leaseMs", "3000"},
            {"bounds.versionMs", "8000"},
            {"bounds.drainMs", "2000"},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.retrySlack", "52"},
            {"bounds.retryWindowS", "10"},
            {"bounds.quotaWindowS", "8"},
            {"bounds.quotaSlack", "110000"}};
}

/// One process of the gateway.
class gateway
{
public:
    gateway(std::string folder, std::string name, std::string const& zone,
            std::string const& store_address, std::map<std::string, std::string> fields)
        : folder_(std::move(folder)), name_(std::move(name)), fields_(std::move(fields))
    {
        http_port_ = free_port();
        ready_port_ = free_port();
        fields_["nodeName"] = name_;
        fields_["zone"] = zone;
        fields_["listen.frontend"] = "127.0.0.1:" + std::to_string(http_port_);
        fields_["listen.readiness"] = "127.0.0.1:" + std::to_string(ready_port_);
        fields_["internalPorts.0"] = std::to_string(free_port(SOCK_DGRAM));
        fields_["internalPorts.1"] = std::to_string(free_port());
        fields_["platform.address"] = store_address;
        write_settings();
        start();
    }

    ~gateway() { end(); }

    /// Ends the process at once, if it runs.
    void end()
    {
        if (ended())
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }

    gateway(gateway const&) = delete;
    gateway& operator=(gateway const&) = delete;

    std::string const& name() const { return name_; }
    int port() const { return http_port_; }
    std::string log_path() const { return folder_ + "/" + name_ + ".log"; }
    void signal(int number) const { ::kill(pid_, number); }

    /// Whether the process has ended.
    bool ended()
    {
        if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
            pid_ = 0;
        return pid_ == 0;
    }

    /// Resident memory in bytes; 0 if the process has ended.
    std::size_t memory() const
    {
        std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
        std::size_t size = 0;
        std::size_t resident = 0;
        in >> size >> resident;
        return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    }

    /// Starts the process again after it has ended, with the settings in force.
    void restart() { start(); }

    /// Changes a field of the platform's settings, which fills in the template again.
    void change_setting(std::string const& field, std::string const& value)
    {
        fields_[field] = value;
        write_settings();
    }

    bool wait_until_ready(double limit_ms = 10'000) const
    {
        for (double const until = now_ms() + limit_ms; now_ms() < until; sleep_ms(50))
        {
            connection it(connect_to(ready_port_));
            if (!it.open() || !it.send("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n"))
                continue;
            auto const answer = it.read_head(now_ms() + 500);
            if (answer && answer->status() == 200)
                return true;
        }
        return false;
    }

private:
    void write_settings() const
    {
        std::ifstream in("deploy/gateway.settings");
        std::stringstream text;
        text << in.rdbuf();
        auto filled = text.str();
        for (auto const& [name, value] : fields_)
        {
            auto const placeholder = "{{" + name + "}}";
            for (auto at = filled.find(placeholder); at != std::string::npos;
                 at = filled.find(placeholder, at))
                filled.replace(at, placeholder.size(), value);
        }
        auto const path = folder_ + "/" + name_ + ".settings";
        std::ofstream(path + ".new") << filled;
        std::rename((path + ".new").c_str(), path.c_str());
    }

    void start()
    {
        auto const settings = "SAVORYMOUNT_SETTINGS=" + folder_ + "/" + name_ + ".settings";
        auto const log = log_path();
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        char program[] = "target/savorymount-gateway";
        char path[] = "PATH=/usr/bin:/bin";
        std::string variable = settings;
        char* arguments[] = {program, nullptr};
        char* environment[] = {path, variable.data(), nullptr};
        ::execve(program, arguments, environment);
        ::_exit(127);
    }

    std::string folder_;
    std::string name_;
    std::map<std::string, std::string> fields_;
    int http_port_ = 0;
    int ready_port_ = 0;
    pid_t pid_ = 0;
};

} // namespace review
